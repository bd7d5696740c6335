/** Seeded arrivals of calls: a Poisson process over the rows of a partner's workload. */
import { hash32 } from '../core/hash.js';
import { createRandom, type Random } from '../core/random.js';
import type { Deployment, WorkloadItem } from '../deployments/deployment.js';
import { createIdempotencyKey } from '../protocol/idempotency-key.js';
import type { Call } from './call-outcome.js';

/** Longest gap between two arrivals, in milliseconds; a rate close to 0 would stall the loop otherwise. */
const LONGEST_GAP_MS = 60_000;
const SMALLEST_UNIFORM = 1e-12;

/** Options of the arrivals. */
export interface ArrivalsOptions {
  readonly deployment: Deployment;
  /** Routes to call; all routes when absent. */
  readonly routes?: readonly string[];
  readonly seed: number;
  /** Prefix of each nonce, so that calls of different sources differ. */
  readonly source: string;
  /** Returns milliseconds since 1970 for the idempotency keys; `Date.now` when absent. */
  readonly wallClock?: () => number;
}

/** Generates a reproducible sequence of calls. */
export class Arrivals {
  private readonly random: Random;
  private readonly keyRandom: Random;
  private readonly items: readonly WorkloadItem[];
  private readonly totalShare: number;
  private drawn = 0;

  constructor(private readonly options: ArrivalsOptions) {
    this.random = createRandom(options.seed);
    this.keyRandom = createRandom(hash32(`${options.source}|${options.seed}`));
    this.items = options.deployment.workload.filter(
      ({ row }) => options.routes === undefined || options.routes.includes(row.route),
    );
    this.totalShare = this.items.reduce((sum, { share }) => sum + share, 0);
  }

  /** Draws the time until the next call, in milliseconds, at the rate `queriesPerSecond`. */
  nextGapMs(queriesPerSecond: number): number {
    const uniform = Math.max(this.random.next(), SMALLEST_UNIFORM);
    return Math.min((-Math.log(uniform) * 1_000) / queriesPerSecond, LONGEST_GAP_MS);
  }

  /** Draws the next call, which is due at `sentAtMs`. */
  nextCall(sentAtMs: number): Call {
    this.drawn += 1;
    const item = this.drawItem();
    const nonce = `${this.options.source}-${this.options.seed}-${this.drawn}`;
    return {
      item,
      nonce,
      sentAtMs,
      ...(item.row.fanOut === 'key' ? { key: `key-${this.random.nextBelow(item.keys)}` } : {}),
      ...(item.row.safeToRepeat ? {} : { idempotencyKey: this.createKey() }),
    };
  }

  private createKey(): string {
    const { wallClock = Date.now } = this.options;
    return createIdempotencyKey(wallClock(), () => this.keyRandom.next());
  }

  private drawItem(): WorkloadItem {
    let left = this.random.next() * this.totalShare;
    for (const item of this.items) {
      left -= item.share;
      if (left < 0) {
        return item;
      }
    }
    const last = this.items.at(-1);
    if (last === undefined) {
      throw new Error('the workload has no rows');
    }
    return last;
  }
}

/** Builds the payload that the replica stand-ins expect. */
export const buildPayload = (call: Call): { nonce: string; aggregate?: boolean } => ({
  nonce: call.nonce,
  ...(call.item.row.merge === 'sum' ? { aggregate: true } : {}),
});
