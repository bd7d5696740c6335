/** Random draws for fuzz tests. */
import type { Random } from '../../src/core/random.js';

/** Draws the parameters of a random run. */
export class Draw {
  constructor(private readonly random: Random) {}

  /** An integer from 0 to below `count`. */
  below(count: number): number {
    return Math.floor(this.random.next() * count);
  }

  /** A number from `min` to below `max`. */
  between(min: number, max: number): number {
    return min + this.random.next() * (max - min);
  }

  /** True with the given probability. */
  isTrue(probability: number): boolean {
    return this.random.next() < probability;
  }

  /** One of the values; throws where there is none. */
  of<Value>(values: readonly Value[]): Value {
    const value = values[this.below(values.length)];
    if (value === undefined) {
      throw new Error('cannot draw from an empty list');
    }
    return value;
  }
}
