/** Proofs that a peer or the sender of a datagram has the shared secret (HMAC-SHA-256). */
import { createHmac, timingSafeEqual } from 'node:crypto';
import { DATAGRAM_TAG_BYTES } from '../../protocol/codec/datagram.js';

/** The secret that all nodes share. */
export class SharedSecret {
  constructor(private readonly secret: string) {}

  /** Computes a proof over `parts`; length prefixes keep different divisions into parts apart. */
  prove(parts: readonly (string | Uint8Array)[]): Buffer {
    const hmac = createHmac('sha256', this.secret);
    for (const part of parts) {
      const bytes = typeof part === 'string' ? Buffer.from(part, 'utf8') : part;
      hmac.update(`${bytes.length}:`);
      hmac.update(bytes);
    }
    return hmac.digest();
  }

  /** Derives a secret for another use. It is the same at all nodes and does not reveal this secret. */
  derive(use: string): string {
    return this.prove(['derived', use]).toString('hex');
  }

  /** Computes the tag of the body of a datagram. */
  readonly tagDatagram = (body: Uint8Array): Buffer =>
    this.prove(['datagram', body]).subarray(0, DATAGRAM_TAG_BYTES);
}

/** Compares two byte strings in constant time. */
export const areEqual = (left: Uint8Array, right: Uint8Array): boolean =>
  left.length === right.length && timingSafeEqual(left, right);
