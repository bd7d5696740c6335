/** Virtual time: a queue of actions, each run when the clock has moved to its time. */
import { BinaryHeap } from '../core/binary-heap.js';

/** Most actions of one moment; more means that the simulated parts keep each other busy for ever. */
const SAME_TIME_ACTION_LIMIT = 1_000_000;

/**
 * Times are rounded up to this fraction of a millisecond, a power of two: sums and differences of
 * times are then exact, and nothing runs before it is due.
 */
const TICKS_PER_MS = 1_024;

/** An action in the queue; hand it to `Scheduler.cancel` to take it back. */
export interface ScheduledAction {
  /** When it runs, in milliseconds of virtual time. */
  readonly at: number;
  /** Orders actions of the same time: first scheduled, first run. */
  readonly sequence: number;
  run: (() => void) | undefined;
}

const roundUp = (time: number): number => Math.ceil(time * TICKS_PER_MS) / TICKS_PER_MS;

const runsBefore = (a: ScheduledAction, b: ScheduledAction): boolean =>
  a.at < b.at || (a.at === b.at && a.sequence < b.sequence);

/** A clock that moves from one scheduled action to the next. */
export class Scheduler {
  private readonly heap = new BinaryHeap<ScheduledAction>(runsBefore);
  private time = 0;
  private scheduled = 0;
  private ran = 0;
  private ranAtCurrentTime = 0;

  /** The virtual time, in milliseconds since the simulation began. */
  get now(): number {
    return this.time;
  }

  /** Actions run so far. */
  get actionsRun(): number {
    return this.ran;
  }

  /** Runs `run` after `delayMs`; a negative delay counts as 0. */
  schedule(delayMs: number, run: () => void): ScheduledAction {
    const at = roundUp(this.time + Math.max(0, delayMs));
    const action: ScheduledAction = { at, sequence: this.scheduled, run };
    this.scheduled += 1;
    this.heap.push(action);
    return action;
  }

  /** Takes an action back; no matter if it has run. */
  cancel(action: ScheduledAction): void {
    action.run = undefined;
  }

  /** Runs all actions up to and including the time `end`, and moves the clock there. */
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
      throw new Error(`virtual time does not move on from ${this.time} ms`);
    }
    this.time = action.at;
    this.ran += 1;
    run();
  }
}
