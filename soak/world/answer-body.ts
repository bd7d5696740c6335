/** Bodies of the replicas' answers; the signature of an answer determines every byte. */
import { createHash } from 'node:crypto';

/** Size of a record in bytes. */
export const RECORD_BYTES = 16;

/** Maximum length of a body, in blocks of 32 bytes. */
const MAX_BLOCKS = 40;

/** Returns a short digest for comparing bodies. */
export const digestOf = (body: Uint8Array): string =>
  createHash('sha256').update(body).digest('base64url').slice(0, 16);

/** Returns the body of the answer with `signature`: up to about 1,200 bytes, often with an incomplete last record. */
export const bodyOf = (signature: string): Buffer => {
  const first = createHash('sha256').update(signature).digest();
  const blocks = 1 + ((first[0] ?? 0) % MAX_BLOCKS);
  const chunks = Array.from({ length: blocks }, (_, index) =>
    createHash('sha256').update(`${signature}/${index}`).digest(),
  );
  return Buffer.concat(chunks).subarray((first[1] ?? 0) % RECORD_BYTES);
};
