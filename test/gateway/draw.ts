/** Draws for random runs. */
import type { Random } from '../../src/core/random.js';

/** Draws what a random run is made of. */
export class Draw {
  constructor(private readonly random: Random) {}

  below(count: number): number {
    return Math.floor(this.random.next() * count);
  }

  between(min: number, max: number): number {
    return min + this.random.next() * (max - min);
  }

  isTrue(probability: number): boolean {
    return this.random.next() < probability;
  }

  of<Value>(values: readonly Value[]): Value {
    const value = values[this.below(values.length)];
    if (value === undefined) {
      throw new Error('there is none');
    }
    return value;
  }
}
