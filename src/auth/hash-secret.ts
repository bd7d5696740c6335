/** Hashing of key secrets. Secrets are long and random, so the digest needs no salt. */
import { createHash } from 'node:crypto';

/** Returns the SHA-256 digest of a secret, 32 bytes. */
export const hashSecret = (secret: string): Buffer =>
  createHash('sha256').update(secret, 'utf8').digest();
