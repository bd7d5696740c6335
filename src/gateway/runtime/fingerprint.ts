/**
 * Identifies requests by their content: requests with the same fingerprint have the same method, host, path, body and
 * caller. Request identifiers and time budgets, which differ between retries, are not part of it.
 */
import { hash32, hashOfBytes } from '../../core/hash.js';
import type { Fingerprint } from '../model/request.js';
import { findHeader, pairHeaders } from './headers.js';

/** Two hashes with different seeds: 32 bits alone are likely to collide among some ten thousand requests. */
const SEEDS = [1, 2] as const;

const HEX_DIGITS = 8;

const toHex = (hash: number): string => hash.toString(16).padStart(HEX_DIGITS, '0');

/** The parts of a request that determine its fingerprint. */
export interface FingerprintedRequest {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Flat list of names and values. */
  readonly passedHeaders: readonly string[];
  readonly body: Uint8Array | null;
}

/**
 * Returns the fingerprint of a request, 16 hexadecimal digits.
 *
 * @param callerHeaders - names of the headers that identify the caller, in lower case
 */
export const fingerprintOf = (
  { method, path, passedHeaders, body }: FingerprintedRequest,
  callerHeaders: readonly string[],
): Fingerprint => {
  const headers = pairHeaders(passedHeaders);
  const named = ['host', ...callerHeaders].map((name) => findHeader(headers, name) ?? '');
  const bodyHashes = body === null ? [] : SEEDS.map((seed) => hashOfBytes(body, seed));
  const text = JSON.stringify([method, path, named, bodyHashes]);
  return SEEDS.map((seed) => toHex(hash32(text, seed))).join('');
};
