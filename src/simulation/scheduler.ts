/** Virtual clock with a queue of actions ordered by time. */
import { BinaryHeap } from '../core/binary-heap.js';

/** Maximum actions at one virtual time; more indicates an endless loop of zero-delay actions. */
const SAME_TIME_ACTION_LIMIT = 1_000_000;

/**
 * Times are rounded up to this fraction of a millisecond. It is a power of two, so that sums and
 * differences of times are exact and no action runs before it is due.
 */
const TICKS_PER_MS = 1_024;

/** A queued action; `Scheduler.cancel` cancels it. */
export interface ScheduledAction {
  /** Virtual time at which the action runs, in milliseconds. */
  readonly at: number;
  /** Orders actions of the same time by the order in which they were scheduled. */
  readonly sequence: number;
  run: (() => void) | undefined;
}

const roundUp = (time: number): number => Math.ceil(time * TICKS_PER_MS) / TICKS_PER_MS;

const runsBefore = (a: ScheduledAction, b: ScheduledAction): boolean =>
  a.at < b.at || (a.at === b.at && a.sequence < b.sequence);

/** Runs scheduled actions in order of time and advances the virtual clock. */
export class Scheduler {
  private readonly heap = new BinaryHeap<ScheduledAction>(runsBefore);
  private time = 0;
  private scheduled = 0;
  private ran = 0;
  private ranAtCurrentTime = 0;

  /** Virtual time, in milliseconds since the simulation began. */
  get now(): number {
    return this.time;
  }

  /** Number of actions run so far. */
  get actionsRun(): number {
    return this.ran;
  }

  /** Schedules `run` after `delayMs` milliseconds; a negative delay counts as 0. */
  schedule(delayMs: number, run: () => void): ScheduledAction {
    const at = roundUp(this.time + Math.max(0, delayMs));
    const action: ScheduledAction = { at, sequence: this.scheduled, run };
    this.scheduled += 1;
    this.heap.push(action);
    return action;
  }

  /** Cancels an action; has no effect if the action has already run. */
  cancel(action: ScheduledAction): void {
    action.run = undefined;
  }

  /**
   * Runs all actions up to and including the time `end`, and advances the clock to `end`.
   *
   * @throws Error if actions without delay schedule each other endlessly
   */
  runUntil(end: number): void {
    const until = roundUp(end);
    for (;;) {
      const first = this.heap.first;
      if (first === undefined || first.at > until) {
        break;
      }
      this.heap.pop();
      this.runAction(first);
    }
    this.time = Math.max(this.time, until);
  }

  private runAction(action: ScheduledAction): void {
    const { run } = action;
    if (run === undefined) {
      return;
    }
    action.run = undefined;
    this.ranAtCurrentTime = action.at > this.time ? 0 : this.ranAtCurrentTime + 1;
    if (this.ranAtCurrentTime > SAME_TIME_ACTION_LIMIT) {
      throw new Error(`virtual time does not advance beyond ${this.time} ms: endless actions`);
    }
    this.time = action.at;
    this.ran += 1;
    run();
  }
}
