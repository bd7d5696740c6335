/**
 * Divides requests among the parts of a split by smooth weighted round robin: in any sequence of requests the count of each
 * part stays within one of its weighted share.
 *
 * Each gateway enters the rotation at a random position, so that its first request already goes to each part with the
 * probability of its weight. The shares therefore hold over many gateways with one request each, over gateways that have
 * just started, and immediately after a change of weights.
 */
import type { SplitPart } from '../model/route.js';

/**
 * Number of positions at which the rotation may be entered. They cover many rounds, so that the entry falls on each part in
 * proportion to its weight. Advancing to the last one takes about 50 microseconds, once for each split.
 */
const ENTRY_POSITIONS = 1_000;

/** Position in the rotation of one split. */
export class SplitCursor {
  private readonly credits: number[];
  private readonly total: number;

  /** @param entry - position at which the rotation is entered, 0 to 1 */
  constructor(
    readonly parts: readonly SplitPart[],
    entry: number,
  ) {
    this.total = parts.reduce((sum, part) => sum + part.weight, 0);
    this.credits = parts.map(() => 0);
    for (let skipped = Math.floor(entry * ENTRY_POSITIONS); skipped > 0; skipped -= 1) {
      this.next();
    }
  }

  /** Advances the rotation and returns the service of the next request; undefined if no part has a positive weight. */
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

/** Whether two splits have the same parts and weights, so that the rotation can continue. */
export const isSameSplit = (left: readonly SplitPart[], right: readonly SplitPart[]): boolean =>
  left.length === right.length &&
  left.every((part, index) => {
    const other = right[index];
    return other?.service === part.service && other.weight === part.weight;
  });
