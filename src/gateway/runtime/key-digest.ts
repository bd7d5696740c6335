/** Computes digests of API keys, both of those in requests and of those in the configuration. */
import type * as Crypto from 'node:crypto';
import { createRequire } from 'node:module';
import type { Header } from '../model/request.js';
import type { KeyDigest } from '../model/tenant.js';

const DIGEST_BYTES = 16;

const requireBuiltin = createRequire(process.execPath);

let loadedCrypto: typeof Crypto | undefined;

/** Two different keys already make the caller unknown; further ones are not hashed. */
const MAX_DISTINCT_KEYS = 2;

/** Loads the module with the first key: this takes 4 to 6 ms, which starts without tenants do without. */
const cryptoModule = (): typeof Crypto => {
  loadedCrypto ??= requireBuiltin('node:crypto') as typeof Crypto;
  return loadedCrypto;
};

/** Returns the digest of a key. */
export const keyDigestOf = (key: string): KeyDigest =>
  cryptoModule().hash('sha256', key, 'buffer').toString('base64url', 0, DIGEST_BYTES);

/**
 * Returns the digests of the different API keys in the headers of a request, at most two; none if there is no key.
 *
 * @param headerName - name of the header with the key, in lower case
 */
export const readKeyDigests = (
  headers: readonly Header[],
  headerName: string,
): readonly KeyDigest[] => {
  const keys = new Set<string>();
  for (const { name, value } of headers) {
    // The lengths are compared first because most headers differ in them.
    if (name.length === headerName.length && name.toLowerCase() === headerName) {
      keys.add(value);
    }
  }
  const hasNone = keys.size === 0 || (keys.size === 1 && keys.has(''));
  return hasNone ? [] : [...keys].slice(0, MAX_DISTINCT_KEYS).map(keyDigestOf);
};
