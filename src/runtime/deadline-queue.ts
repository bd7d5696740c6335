/**
 * Many deadlines that share one timer of the process. A heap orders them by time. A cancelled deadline
 * stays in the heap until it is due, or until most deadlines in the heap are cancelled.
 */
import { BinaryHeap } from '../core/binary-heap.js';
import type { MonotonicClock } from './monotonic-clock.js';

/** Maximum delay of a timer of the process, in milliseconds; a timer with a longer one fires at once. */
export const MAX_DELAY_MS = 2_147_483_647;

/** A timer of the process that fires this much late shows that the process did not run meanwhile, in milliseconds. */
const STALL_MS = 150;

/**
 * Turns of the event loop after a stall before deadlines become due. Answers that arrived meanwhile wait in sockets, and
 * expired timers would be handled before them. One turn reads a part of what waits in each socket.
 */
export const TURNS_AFTER_STALL = 3;

/** Least time between two such waits, in milliseconds: a process that is overloaded all the time must not wait each time. */
const MIN_WAIT_INTERVAL_MS = 1_000;

/** Size up to which a heap is never compacted. */
const COMPACTION_MINIMUM = 1_024;

/** A deadline that has been set; the caller needs it to cancel the deadline. */
export interface Deadline<Subject> {
  readonly subject: Subject;
  readonly at: number;
  /** True once the deadline was due or cancelled. */
  isOver: boolean;
}

const isDueBefore = <Subject>(left: Deadline<Subject>, right: Deadline<Subject>): boolean =>
  left.at < right.at;

/** Calls back once for each deadline when it is due. */
export class DeadlineQueue<Subject> {
  private readonly heap = new BinaryHeap<Deadline<Subject>>(isDueBefore);
  private live = 0;
  private timer: NodeJS.Timeout | undefined;
  private turn: NodeJS.Immediate | undefined;
  private waitedAt = Number.NEGATIVE_INFINITY;
  private timerAt = Number.POSITIVE_INFINITY;

  constructor(
    private readonly clock: MonotonicClock,
    private readonly onDue: (subject: Subject) => void,
    /** Turns of the event loop that deadlines wait after a stall. */
    private readonly turnsAfterStall = 0,
  ) {}

  /** Sets a deadline for `subject`, due at `at` by the queue's clock. */
  set(subject: Subject, at: number): Deadline<Subject> {
    const deadline = { subject, at, isOver: false };
    this.live += 1;
    this.heap.push(deadline);
    if (at < this.timerAt) {
      this.armTimer();
    }
    return deadline;
  }

  /** Cancels a deadline; no effect if it is over. */
  cancel(deadline: Deadline<Subject>): void {
    if (deadline.isOver) {
      return;
    }
    deadline.isOver = true;
    this.live -= 1;
    if (this.heap.size > COMPACTION_MINIMUM && this.live * 2 < this.heap.size) {
      this.heap.retain((each) => !each.isOver);
    }
  }

  /** Restarts the timer after a jump of the clock, which the timers of the process do not follow. */
  refresh(): void {
    this.armTimer();
  }

  /** Cancels all deadlines. */
  clear(): void {
    this.live = 0;
    this.heap.clear();
    clearTimeout(this.timer);
    clearImmediate(this.turn);
    this.timerAt = Number.POSITIVE_INFINITY;
  }

  private armTimer(): void {
    const first = this.heap.first;
    clearTimeout(this.timer);
    this.timerAt = first?.at ?? Number.POSITIVE_INFINITY;
    if (first !== undefined) {
      const delay = Math.ceil(Math.max(0, first.at - this.clock.now()));
      this.timer = setTimeout(() => this.handleTimer(), Math.min(delay, MAX_DELAY_MS));
    }
  }

  private handleTimer(): void {
    const now = this.clock.now();
    const isStall = now - this.timerAt > STALL_MS && now - this.waitedAt > MIN_WAIT_INTERVAL_MS;
    if (isStall && this.turnsAfterStall > 0) {
      this.waitedAt = now;
      this.timerAt = Number.NEGATIVE_INFINITY;
      this.waitTurns(this.turnsAfterStall);
    } else {
      this.handleDue();
    }
  }

  private waitTurns(turns: number): void {
    clearImmediate(this.turn);
    this.turn = setImmediate(() => {
      if (turns > 1) {
        this.waitTurns(turns - 1);
      } else {
        this.handleDue();
      }
    });
  }

  private handleDue(): void {
    const now = this.clock.now();
    this.timerAt = Number.POSITIVE_INFINITY;
    for (
      let first = this.heap.first;
      first !== undefined && first.at <= now;
      first = this.heap.first
    ) {
      this.heap.pop();
      if (!first.isOver) {
        first.isOver = true;
        this.live -= 1;
        this.onDue(first.subject);
      }
    }
    this.armTimer();
  }
}
