/**
 * The part of a limit that a gateway may use while shares of it move between gateways.
 *
 * The shares of all gateways add up to 1 at each moment, but a limit over a window also counts what the previous holder of a
 * share has used. A share therefore counts fully only if it was held for a whole window; of one that was gained later, or by
 * a process that started later, only a reserve may be used, in proportion to the time for which it was held.
 *
 * Invariant: the usable shares of all processes in any window, those that have ended included, add up to at most 1 if the
 * shares do at each moment. A share that counts fully was held for a whole window in the last two. Let those be `f` in sum:
 * the others were held for at most `2 - f` windows, and the usable sum is `HELD_PART * f + GAINED_PART * (2 - f)`.
 *
 * What a gateway's own requests allow is divided in the same parts: the previous holder may have sent at once what the
 * requests of its last window allowed.
 */

/** Part of a share that may be used if it was held for a whole window. */
const HELD_PART = 0.75;

/** Part of a share that may be used in proportion to the time for which it was held. */
const GAINED_PART = 1 - HELD_PART;

/** A share, 0 to 1, and when the gateway got it, in milliseconds on its clock. */
interface Step {
  readonly since: number;
  readonly share: number;
}

/** What a gateway may use in one window. */
export interface UsableShare {
  /** Share of the limit, 0 to 1. */
  readonly ofLimit: number;
  /** Part of what the gateway's own requests allow, 0 to 1: previous holders have used what theirs allowed. */
  readonly ofOwnRequests: number;
}

/** The shares that a gateway has held in the last window. */
export class ShareHistory {
  /** In the order of time; the first one was held before the window or at its start. */
  private readonly steps: Step[];

  /**
   * @param share - the present share, 0 to 1
   * @param since - when the gateway got it, having had none before; negative infinity if it has always held it
   */
  constructor(
    private readonly windowMs: number,
    share: number,
    since: number,
  ) {
    const before = { since: Number.NEGATIVE_INFINITY, share: 0 };
    this.steps = Number.isFinite(since) ? [before, { since, share }] : [{ since, share }];
  }

  /** Records the present share. */
  record(share: number, at: number): void {
    if (this.steps.at(-1)?.share !== share) {
      this.steps.push({ since: at, share });
    }
    const start = at - this.windowMs;
    while ((this.steps[1]?.since ?? Number.POSITIVE_INFINITY) <= start) {
      this.steps.shift();
    }
  }

  /** What may be used in the window that ends at `at`. */
  usable(at: number): UsableShare {
    const present = this.steps.at(-1)?.share ?? 0;
    const held = Math.min(...this.steps.map(({ share }) => share));
    const heldPart = present > 0 ? HELD_PART * (held / present) : 0;
    return {
      ofLimit: Math.max(HELD_PART * held, GAINED_PART * this.meanShare(at)),
      ofOwnRequests: Math.max(heldPart, GAINED_PART),
    };
  }

  private meanShare(at: number): number {
    const start = at - this.windowMs;
    const sum = this.steps.reduce((total, { since, share }, index) => {
      const until = this.steps[index + 1]?.since ?? at;
      return total + share * Math.max(0, until - Math.max(since, start));
    }, 0);
    return sum / this.windowMs;
  }
}
