/**
 * An open-loop load generator: calls are sent when they are due, whether or not earlier ones have
 * ended, so that a slow tier does not reduce its own load. The run time and the number of calls in
 * progress are bounded.
 */
import type { Arrivals } from './arrivals.js';
import type { Call, EndedCall } from './call-outcome.js';

/** Maximum number of calls in progress; further calls are not sent and count as failed. */
const MAX_CALLS_IN_PROGRESS = 5_000;
/** Problem reported for a call that was not sent. */
const TOO_MANY_CALLS = 'the caller has too many calls in progress';

/** Options of a loop. */
export interface OpenLoopOptions {
  readonly arrivals: Arrivals;
  /** Returns the current arrival rate per second; called before each arrival. */
  readonly queriesPerSecond: () => number;
  /** Start of the measured part, in milliseconds of `performance.now()`. */
  readonly startAt: number;
  /** How long before the measured part calls begin, in milliseconds; 0 when absent. */
  readonly leadMs?: number;
  readonly durationMs: number;
  readonly send: (call: Call, dueAt: number) => Promise<EndedCall>;
  readonly onEnded: (ended: EndedCall) => void;
}

/** Sends the calls of one partner. */
export class OpenLoop {
  private readonly inProgress = new Set<Promise<void>>();
  private timer: NodeJS.Timeout | undefined;
  private nextAt: number;
  private finish: () => void = () => undefined;
  private readonly sentAll: Promise<void>;

  constructor(private readonly options: OpenLoopOptions) {
    this.nextAt = options.startAt - (options.leadMs ?? 0);
    this.sentAll = new Promise((resolve) => {
      this.finish = resolve;
    });
  }

  /** Runs until its duration has passed or `stop` is called; resolves when all calls have ended. */
  async run(): Promise<void> {
    this.nextAt += this.options.arrivals.nextGapMs(this.options.queriesPerSecond());
    this.schedule();
    await this.sentAll;
    await Promise.all(this.inProgress);
  }

  /** Stops sending calls; calls in progress continue. */
  stop(): void {
    clearTimeout(this.timer);
    this.finish();
  }

  private schedule(): void {
    const { startAt, durationMs } = this.options;
    if (this.nextAt >= startAt + durationMs) {
      this.finish();
      return;
    }
    this.timer = setTimeout(() => this.sendDue(), Math.max(0, this.nextAt - performance.now()));
  }

  private sendDue(): void {
    const { arrivals, queriesPerSecond, startAt, durationMs } = this.options;
    const now = performance.now();
    while (this.nextAt <= now && this.nextAt < startAt + durationMs) {
      this.sendCall(arrivals.nextCall(this.nextAt - startAt), this.nextAt);
      this.nextAt += arrivals.nextGapMs(queriesPerSecond());
    }
    this.schedule();
  }

  private sendCall(call: Call, dueAt: number): void {
    const { send, onEnded } = this.options;
    if (this.inProgress.size >= MAX_CALLS_IN_PROGRESS) {
      onEnded({ call, outcome: { type: 'failed', problem: TOO_MANY_CALLS }, latencyMs: 0 });
      return;
    }
    const ended = send(call, dueAt)
      .then(onEnded)
      .finally(() => this.inProgress.delete(ended));
    this.inProgress.add(ended);
  }
}
