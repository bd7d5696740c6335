import { describe, expect, it } from 'vitest';
import { createRandom } from '../../src/core/random.js';

const SEEDS = 1_000;
const DRAWS = 10;

describe('random', () => {
  it('draws uncorrelated numbers with adjacent seeds', () => {
    const countsBelow = Array.from({ length: DRAWS }, () => 0);
    for (let seed = 0; seed < SEEDS; seed += 1) {
      const random = createRandom(seed);
      countsBelow.forEach((_, draw) => {
        countsBelow[draw] = (countsBelow[draw] ?? 0) + (random.next() < 0.1 ? 1 : 0);
      });
    }
    for (const count of countsBelow) {
      expect(count).toBeGreaterThan(60);
      expect(count).toBeLessThan(140);
    }
  });
});
