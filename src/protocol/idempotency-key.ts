/**
 * Idempotency keys: UUIDs of version 7 (RFC 9562), which contain their creation time. The time assigns
 * a key to a period of keepers and distinguishes a late resend from a first request.
 */
import { type Either, Left, Right } from 'purify-ts';

const KEY_PATTERN = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/;

const HEX_RADIX = 16;
const TIME_DIGITS = 12;
/** Number of random hexadecimal digits of a key, including the one that selects the variant. */
const RANDOM_DIGITS = 19;

/** An idempotency key in canonical lower case, and its creation time. */
export interface IdempotencyKey {
  readonly text: string;
  /** Milliseconds since 1970, by the clock of the creator of the key. */
  readonly createdAt: number;
}

/** Parses a key; Left describes the problem. */
export const parseIdempotencyKey = (text: string): Either<string, IdempotencyKey> => {
  const normalized = text.toLowerCase();
  if (!KEY_PATTERN.test(normalized)) {
    return Left('is no UUID of version 7');
  }
  const createdAt = Number.parseInt(normalized.slice(0, 8) + normalized.slice(9, 13), HEX_RADIX);
  return Right({ text: normalized, createdAt });
};

/**
 * Creates a key.
 *
 * @param createdAt - wall-clock time in milliseconds since 1970
 * @param random - returns numbers uniformly distributed in [0, 1)
 */
export const createIdempotencyKey = (createdAt: number, random: () => number): string => {
  const time = Math.floor(createdAt).toString(HEX_RADIX).padStart(TIME_DIGITS, '0');
  let digits = '';
  for (let index = 0; index < RANDOM_DIGITS; index += 1) {
    digits += Math.floor(random() * HEX_RADIX).toString(HEX_RADIX);
  }
  const head = `${time.slice(0, 8)}-${time.slice(8)}-7${digits.slice(0, 3)}`;
  const variant = '89ab'[Number.parseInt(digits.slice(3, 4), HEX_RADIX) % 4] ?? '8';
  return `${head}-${variant}${digits.slice(4, 7)}-${digits.slice(7)}`;
};
