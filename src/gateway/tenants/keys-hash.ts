/** Identifies the API keys of a configuration by their content. */
import { hash32 } from '../../core/hash.js';
import type { Tenant } from '../model/tenant.js';

/**
 * Hash of which tenant holds which keys. A version number does not identify them: a store that is restored from a backup
 * loses the newest versions, and the operator may then write other configurations under the same numbers.
 */
export type KeysHash = number;

/** Seed and range of the second half of the hash; both halves together fit into a safe integer. */
const SECOND_SEED = 1;
const SECOND_RANGE = 2 ** 21;

/** Returns the hash of the keys of all tenants. */
export const hashKeys = (tenants: readonly Tenant[]): KeysHash => {
  const text = JSON.stringify(tenants.map(({ name, keyDigests }) => [name, keyDigests]));
  return hash32(text) * SECOND_RANGE + (hash32(text, SECOND_SEED) % SECOND_RANGE);
};
