/** Creates keys: a random secret for its holder and the record that the store keeps. */
import { randomBytes } from 'node:crypto';
import type { KeyRecord, KeyRole } from '../table/partner-keys.js';
import { hashSecret } from './hash-secret.js';

/** Random bytes in a secret. */
const SECRET_BYTES = 32;

/** Starts each secret, so that scanners for leaked secrets can tell one. */
const SECRET_PREFIX = 'xrd_';

/** A new key: the secret is shown once and stored nowhere. */
export interface NewKey {
  readonly secret: string;
  readonly record: KeyRecord;
}

/** Makes the record under which a secret is stored. */
const createKeyRecord = (name: string, role: KeyRole, secret: string): KeyRecord => ({
  name,
  role,
  sha256: hashSecret(secret).toString('hex'),
});

/** Creates a key with a fresh secret. */
export const createKey = (name: string, role: KeyRole): NewKey => {
  const secret = `${SECRET_PREFIX}${randomBytes(SECRET_BYTES).toString('base64url')}`;
  return { secret, record: createKeyRecord(name, role, secret) };
};
