/** Bodies of replicas: the signature of an answer determines every byte. */
import { createHash } from 'node:crypto';

/** Size of a record of a part, in bytes. */
export const RECORD_BYTES = 16;

/** Longest body, in digests of 32 bytes. */
const MAX_BLOCKS = 40;

/** A short digest by which bodies are compared. */
export const digestOf = (body: Uint8Array): string =>
  createHash('sha256').update(body).digest('base64url').slice(0, 16);

/** The body of the answer with a signature: up to some 1,200 bytes, the last record often incomplete. */
export const bodyOf = (signature: string): Buffer => {
  const first = createHash('sha256').update(signature).digest();
  const blocks = 1 + ((first[0] ?? 0) % MAX_BLOCKS);
  const chunks = Array.from({ length: blocks }, (_, index) =>
    createHash('sha256').update(`${signature}/${index}`).digest(),
  );
  return Buffer.concat(chunks).subarray((first[1] ?? 0) % RECORD_BYTES);
};
