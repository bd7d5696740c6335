import fc from 'fast-check';
import createHasher from 'xxhash-wasm';
import { expect, test } from 'vitest';
import { hash32 } from '../../src/core/hash.js';

const SEED = 20_261_202;

test('hash32 returns the same values as the WebAssembly build of xxHash', async () => {
  const { h32 } = await createHasher();
  const seeds = fc.integer({ min: 0, max: 0xffff_ffff });
  const texts = fc.string({ unit: 'binary', maxLength: 100 });
  fc.assert(
    fc.property(texts, seeds, (text, seed) => {
      expect(hash32(text, seed)).toBe(h32(text, seed));
    }),
    { seed: SEED, numRuns: 2_000 },
  );
});

test('hash32 agrees with the WebAssembly build on the empty text and all lengths around a stripe', async () => {
  const { h32 } = await createHasher();
  for (let length = 0; length <= 70; length += 1) {
    const text = 'ä0123456789'.repeat(7).slice(0, length);
    expect(hash32(text)).toBe(h32(text));
    expect(hash32(`a${text.slice(1)}`)).toBe(h32(`a${text.slice(1)}`));
  }
});

test('hash32 agrees with the WebAssembly build on texts longer than the buffer for short texts', async () => {
  const { h32 } = await createHasher();
  for (let length = 250; length <= 270; length += 1) {
    const text = 'x'.repeat(length);
    expect(hash32(text)).toBe(h32(text));
  }
});
