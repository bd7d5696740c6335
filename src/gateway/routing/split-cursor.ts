/**
 * Divides requests among the parts of a split by smooth weighted round robin: in any run of requests
 * each part's count stays within one of its weight's share.
 */
import type { SplitPart } from '../model/route.js';

/** The position in the rotation of one split. */
export class SplitCursor {
  private readonly credits: number[];
  private readonly total: number;

  /** @param phase - 0 to 1; where the rotation begins, so that gateways do not move in step */
  constructor(
    readonly parts: readonly SplitPart[],
    phase: number,
  ) {
    this.total = parts.reduce((sum, part) => sum + part.weight, 0);
    this.credits = parts.map((part, index) => part.weight * ((phase + index / parts.length) % 1));
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
