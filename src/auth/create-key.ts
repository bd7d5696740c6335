/** Creation of keys: a random secret for the holder and the record for the store. */
import { randomBytes } from 'node:crypto';
import type { KeyRecord, KeyRole } from '../table/partner-keys.js';
import { hashSecret } from './hash-secret.js';

/** Number of random bytes in a secret. */
const SECRET_BYTES = 32;

/** Prefix of each secret, by which secret scanners can recognize leaked ones. */
const SECRET_PREFIX = 'xrd_';

/** A new key. The secret is shown once and never stored. */
export interface NewKey {
  readonly secret: string;
  readonly record: KeyRecord;
}

/** Creates the record of a secret, which contains only its hash. */
const createKeyRecord = (name: string, role: KeyRole, secret: string): KeyRecord => ({
  name,
  role,
  sha256: hashSecret(secret).toString('hex'),
});

/** Creates a key with a new random secret. */
export const createKey = (name: string, role: KeyRole): NewKey => {
  const secret = `${SECRET_PREFIX}${randomBytes(SECRET_BYTES).toString('base64url')}`;
  return { secret, record: createKeyRecord(name, role, secret) };
};
