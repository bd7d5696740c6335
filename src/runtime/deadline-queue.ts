/**
 * Many deadlines over one timer of the process. A heap holds them by time; a cancelled one stays in
 * it until its time comes or until cancelled ones are the majority.
 */
import { BinaryHeap } from '../core/binary-heap.js';
import type { MonotonicClock } from './monotonic-clock.js';

/** Longest delay that the process's timers take, in milliseconds. */
const MAX_DELAY_MS = 2_147_483_647;

/** Heaps smaller than this are never compacted. */
const COMPACTION_MINIMUM = 1_024;

/** A deadline that has been set; whoever set it keeps it to cancel it. */
export interface Deadline<Subject> {
  readonly subject: Subject;
  readonly at: number;
  /** It is due, or was cancelled. */
  isOver: boolean;
}

const isDueBefore = <Subject>(left: Deadline<Subject>, right: Deadline<Subject>): boolean =>
  left.at < right.at;

/** Calls back once for each deadline when its time has come. */
export class DeadlineQueue<Subject> {
  private readonly heap = new BinaryHeap<Deadline<Subject>>(isDueBefore);
  private live = 0;
  private timer: NodeJS.Timeout | undefined;
  private timerAt = Number.POSITIVE_INFINITY;

  constructor(
    private readonly clock: MonotonicClock,
    private readonly onDue: (subject: Subject) => void,
  ) {}

  /** Sets a deadline for `subject`, due at `at`. */
  set(subject: Subject, at: number): Deadline<Subject> {
    const deadline = { subject, at, isOver: false };
    this.live += 1;
    this.heap.push(deadline);
    if (at < this.timerAt) {
      this.armTimer();
    }
    return deadline;
  }

  /** Forgets a deadline; no matter if it is over. */
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

  /** Counts the time to the first deadline anew: the clock has jumped, and the process's timers have not. */
  refresh(): void {
    this.armTimer();
  }

  /** Forgets all deadlines. */
  clear(): void {
    this.live = 0;
    this.heap.clear();
    clearTimeout(this.timer);
    this.timerAt = Number.POSITIVE_INFINITY;
  }

  private armTimer(): void {
    const first = this.heap.first;
    clearTimeout(this.timer);
    this.timerAt = first?.at ?? Number.POSITIVE_INFINITY;
    if (first !== undefined) {
      const delay = Math.ceil(Math.max(0, first.at - this.clock.now()));
      this.timer = setTimeout(() => this.handleDue(), Math.min(delay, MAX_DELAY_MS));
    }
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
