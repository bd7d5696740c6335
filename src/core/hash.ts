/**
 * Non-cryptographic hashing for rendezvous order and key placement: 32-bit xxHash over UTF-8.
 *
 * Implemented here because the WebAssembly build must be compiled at every start of a process,
 * before the first module that needs it is loaded. A test compares the two.
 */

/** The primes given in the specification of xxHash. */
const PRIME_1 = 0x9e3779b1;
const PRIME_2 = 0x85ebca77;
const PRIME_3 = 0xc2b2ae3d;
const PRIME_4 = 0x27d4eb2f;
const PRIME_5 = 0x165667b1;

/** Number of bytes the main loop processes at a time: four lanes of four bytes. */
const STRIPE_BYTES = 16;
const LANE_BYTES = 4;

const encoder = new TextEncoder();

/** Short ASCII texts, nearly all that are hashed, skip the encoder, as a call to it costs 1 us. */
const SHORT_LENGTH = 256;
const shortBytes = new Uint8Array(SHORT_LENGTH);

const FIRST_NON_ASCII = 0x80;

/** Writes a short ASCII text to `shortBytes`; returns false for any other text. */
const encodeShort = (text: string): boolean => {
  if (text.length > SHORT_LENGTH) {
    return false;
  }
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index);
    if (code >= FIRST_NON_ASCII) {
      return false;
    }
    shortBytes[index] = code;
  }
  return true;
};

const rotateLeft = (value: number, bits: number): number =>
  (value << bits) | (value >>> (32 - bits));

const readLane = (bytes: Uint8Array, offset: number): number =>
  (bytes[offset] ?? 0) |
  ((bytes[offset + 1] ?? 0) << 8) |
  ((bytes[offset + 2] ?? 0) << 16) |
  ((bytes[offset + 3] ?? 0) << 24);

const mixLane = (accumulator: number, lane: number): number =>
  Math.imul(rotateLeft((accumulator + Math.imul(lane, PRIME_2)) | 0, 13), PRIME_1);

/** Hashes all whole stripes of an input that has at least one. */
const hashStripes = (bytes: Uint8Array, length: number, seed: number): number => {
  let first = (seed + PRIME_1 + PRIME_2) | 0;
  let second = (seed + PRIME_2) | 0;
  let third = seed | 0;
  let fourth = (seed - PRIME_1) | 0;
  for (let offset = 0; offset + STRIPE_BYTES <= length; offset += STRIPE_BYTES) {
    first = mixLane(first, readLane(bytes, offset));
    second = mixLane(second, readLane(bytes, offset + LANE_BYTES));
    third = mixLane(third, readLane(bytes, offset + 2 * LANE_BYTES));
    fourth = mixLane(fourth, readLane(bytes, offset + 3 * LANE_BYTES));
  }
  return (
    rotateLeft(first, 1) + rotateLeft(second, 7) + rotateLeft(third, 12) + rotateLeft(fourth, 18)
  );
};

/** Hashes the bytes after the last whole stripe. */
const hashRest = (bytes: Uint8Array, length: number, begin: number, start: number): number => {
  let hash = begin;
  let offset = start;
  for (; offset + LANE_BYTES <= length; offset += LANE_BYTES) {
    const mixed = (hash + Math.imul(readLane(bytes, offset), PRIME_3)) | 0;
    hash = Math.imul(rotateLeft(mixed, 17), PRIME_4);
  }
  for (; offset < length; offset += 1) {
    const mixed = (hash + Math.imul(bytes[offset] ?? 0, PRIME_5)) | 0;
    hash = Math.imul(rotateLeft(mixed, 11), PRIME_1);
  }
  return hash;
};

const avalanche = (value: number): number => {
  let hash = Math.imul(value ^ (value >>> 15), PRIME_2);
  hash = Math.imul(hash ^ (hash >>> 13), PRIME_3);
  return (hash ^ (hash >>> 16)) >>> 0;
};

const hashBytes = (bytes: Uint8Array, length: number, seed: number): number => {
  const hasStripes = length >= STRIPE_BYTES;
  const begin = hasStripes ? hashStripes(bytes, length, seed) : (seed + PRIME_5) | 0;
  const restAt = hasStripes ? length - (length % STRIPE_BYTES) : 0;
  return avalanche(hashRest(bytes, length, (begin + length) | 0, restAt));
};

/**
 * Hashes bytes to an unsigned 32-bit integer, which is the same on every machine and in every run.
 */
export const hashOfBytes = (bytes: Uint8Array, seed = 0): number =>
  hashBytes(bytes, bytes.length, seed);

/**
 * Hashes `text` to an unsigned 32-bit integer, which is the same on every machine and in every run.
 */
export const hash32 = (text: string, seed = 0): number => {
  if (encodeShort(text)) {
    return hashBytes(shortBytes, text.length, seed);
  }
  const bytes = encoder.encode(text);
  return hashBytes(bytes, bytes.length, seed);
};
