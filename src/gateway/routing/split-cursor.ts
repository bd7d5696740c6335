/**
 * Divides requests among the parts of a split by smooth weighted round robin: in any run of requests each
 * part's count stays within one of its weight's share.
 *
 * A gateway enters the rotation at a drawn place. So the first request of each already goes to a part with
 * the probability of its weight, and shares hold over many gateways with a request each, over gateways that
 * have just started, and right after the weights have changed.
 */
import type { SplitPart } from '../model/route.js';

/**
 * Places at which a rotation may be entered: many turns of the rotation, so that each part is entered at in
 * proportion to its weight. Going to the last one takes some 50 microseconds, once for each split.
 */
const ENTRIES = 1_000;

/** The position in the rotation of one split. */
export class SplitCursor {
  private readonly credits: number[];
  private readonly total: number;

  /** @param entry - where the rotation is entered, 0 to 1 */
  constructor(
    readonly parts: readonly SplitPart[],
    entry: number,
  ) {
    this.total = parts.reduce((sum, part) => sum + part.weight, 0);
    this.credits = parts.map(() => 0);
    for (let skipped = Math.floor(entry * ENTRIES); skipped > 0; skipped -= 1) {
      this.next();
    }
  }

  /** The service of the next request; undefined when no part has a weight. */
  next(): string | undefined {
    if (this.total <= 0) {
      return undefined;
    }
    let best = -1;
    this.parts.forEach((part, index) => {
      this.credits[index] = (this.credits[index] ?? 0) + part.weight;
      const isAhead = best < 0 || (this.credits[index] ?? 0) > (this.credits[best] ?? 0);
      if (part.weight > 0 && isAhead) {
        best = index;
      }
    });
    this.credits[best] = (this.credits[best] ?? 0) - this.total;
    return this.parts[best]?.service;
  }
}

/** Whether two splits divide alike, so that the rotation may go on. */
export const isSameSplit = (left: readonly SplitPart[], right: readonly SplitPart[]): boolean =>
  left.length === right.length &&
  left.every((part, index) => {
    const other = right[index];
    return other?.service === part.service && other.weight === part.weight;
  });
