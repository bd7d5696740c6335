/**
 * Verifies a presented secret against the keys in force.
 *
 * The work does not depend on whether the secret is known: it takes one SHA-256 and one
 * constant-time comparison with each key of each partner, without an early return. Only the decoded
 * stored hashes are cached, by `PartnerKeys` object: after a rotation of keys, the new object is
 * decoded at its first use and the old one is garbage-collected. Secrets are never stored.
 */
import { timingSafeEqual } from 'node:crypto';
import type { PartnerId } from '../core/identifiers.js';
import type { KeyRole, PartnerKeys } from '../table/partner-keys.js';
import { hashSecret } from './hash-secret.js';

/** A verified key, with its partner and its role. */
export interface VerifiedKey {
  readonly partner: PartnerId;
  readonly name: string;
  readonly role: KeyRole;
}

/** Longest secret that is hashed, in characters; longer ones are refused without hashing. */
export const SECRET_LENGTH_LIMIT = 256;

const DIGEST_BYTES = 32;
const DIGEST_PATTERN = /^[0-9a-f]{64}$/;

interface DecodedKey {
  readonly digest: Buffer;
  readonly verified: VerifiedKey;
}

const decodedKeys = new WeakMap<PartnerKeys, readonly DecodedKey[]>();

const decodeKeys = (keys: PartnerKeys): readonly DecodedKey[] =>
  keys.keys
    .filter((record) => DIGEST_PATTERN.test(record.sha256))
    .map((record) => ({
      digest: Buffer.from(record.sha256, 'hex'),
      verified: { partner: keys.partner, name: record.name, role: record.role },
    }));

const readDecodedKeys = (keys: PartnerKeys): readonly DecodedKey[] => {
  const known = decodedKeys.get(keys);
  if (known !== undefined) {
    return known;
  }
  const decoded = decodeKeys(keys);
  decodedKeys.set(keys, decoded);
  return decoded;
};

/**
 * Finds the key in force that has the presented secret.
 *
 * @returns the key, or undefined if no key in force has this secret
 */
export const verifyKey = (
  keys: ReadonlyMap<PartnerId, PartnerKeys>,
  secret: string,
): VerifiedKey | undefined => {
  if (secret.length === 0 || secret.length > SECRET_LENGTH_LIMIT) {
    return undefined;
  }
  const presented = hashSecret(secret);
  let found: VerifiedKey | undefined;
  for (const partnerKeys of keys.values()) {
    for (const key of readDecodedKeys(partnerKeys)) {
      if (key.digest.length === DIGEST_BYTES && timingSafeEqual(key.digest, presented)) {
        found = key.verified;
      }
    }
  }
  return found;
};
