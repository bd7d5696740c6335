/** The seeded random generator in the state of a core; the only source of randomness in `core/`. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const UINT32_RANGE = 0x1_0000_0000;

/** A deterministic stream of random numbers. */
export interface Random {
  /** Returns the next number, uniform in [0, 1). */
  next(): number;
  /** Returns the next integer, uniform in [0, bound). `bound` must be at least 1. */
  nextBelow(bound: number): number;
}

/**
 * Number of values discarded at the start, because the first ones still correlate with the seed.
 */
const DISCARDED = 16;

/** Mixes the bits of a seed (MurmurHash3), so that adjacent seeds give unrelated streams. */
const mixSeed = (seed: number): number => {
  let mixed = seed | 0;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) | 0;
};

/** Creates a generator; the same `seed` (any 32-bit integer) gives the same stream. */
export const createRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(mixSeed(seed));
  for (let index = 0; index < DISCARDED; index += 1) {
    generator.next();
  }
  const next = (): number => (generator.next() >>> 0) / UINT32_RANGE;
  return {
    next,
    nextBelow: (bound) => Math.floor(next() * bound),
  };
};
