/**
 * Divides requests among the parts of a split. The cursor walks round a circle that the parts cover in
 * proportion to their weights, by steps of the golden ratio: wherever it starts, any run of requests is
 * spread evenly over the circle.
 *
 * Gateways start at drawn places. So the first request of each already goes to a part with the
 * probability of its weight, and shares hold over many gateways with a request each, over gateways that
 * have just started, and right after the weights have changed.
 */
import type { SplitPart } from '../model/route.js';

/** Step on a circle of length 1 that spreads any number of points most evenly. */
const GOLDEN_STEP = (Math.sqrt(5) - 1) / 2;

/** The place of one gateway in one split. */
export class SplitCursor {
  /** @param place - where on the circle it starts, 0 to 1 */
  constructor(private place: number) {}

  /** The service of the next request; undefined when no part has a weight. */
  next(parts: readonly SplitPart[]): string | undefined {
    const total = parts.reduce((sum, { weight }) => sum + weight, 0);
    const target = this.place * total;
    this.place = (this.place + GOLDEN_STEP) % 1;
    let covered = 0;
    for (const { service, weight } of parts) {
      covered += weight;
      if (target < covered) {
        return service;
      }
    }
    return undefined;
  }
}
