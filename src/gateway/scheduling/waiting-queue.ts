/** The attempts that wait at this feeder for room at the replicas of one shard. */
import { DeadlineHeap } from '../../core/deadline-heap.js';
import type { WaitingAttempt } from '../requests/request-state.js';
import type { ClassRank } from './class-rank.js';
import { ClassShares } from './class-shares.js';

/** The expected wait of a class at a shard. */
export interface ClassWait {
  readonly rank: ClassRank;
  readonly waitMs: number;
}

/** Weight of a new sample in the moving average of the interval between starts. */
const INTERVAL_WEIGHT = 0.1;

/** Longer intervals between starts are no samples: all replicas were stalled. */
const MAX_INTERVAL_MS = 250;

const NO_CLASSES: ReadonlySet<ClassRank> = new Set();

/** The waiting attempts of one class. Retries wait behind first attempts. */
class ClassQueue {
  private readonly first = { timely: newHeap(), late: newHeap() };
  private readonly retries = { timely: newHeap(), late: newHeap() };

  constructor(readonly rank: ClassRank) {}

  get size(): number {
    return this.heaps.reduce((sum, { size }) => sum + size, 0);
  }

  /** When the attempt that has waited longest began to wait, by the first of each order; infinity without any. */
  get oldestSince(): number {
    const times = this.heaps.map((heap) => heap.first?.since ?? Number.POSITIVE_INFINITY);
    return Math.min(...times);
  }

  add(waiting: WaitingAttempt): void {
    (waiting.reason === 'first' ? this.first : this.retries).timely.add(waiting);
  }

  /** Counts an attempt as removed whose `isQueued` was set to false. */
  remove(waiting: WaitingAttempt): void {
    const { timely, late } = waiting.reason === 'first' ? this.first : this.retries;
    (this.late.has(waiting) ? late : timely).remove();
    this.late.delete(waiting);
  }

  /** Removes and returns the next attempt; retries only if `withRetries`. */
  take(withRetries: boolean, at: number): WaitingAttempt | undefined {
    const taken = this.takeFrom(this.first, at);
    const next = taken ?? (withRetries ? this.takeFrom(this.retries, at) : undefined);
    if (next !== undefined) {
      this.late.delete(next);
    }
    return next;
  }

  /** Removes and returns the attempts that can no longer be answered before their deadlines. */
  takeHopeless(at: number): readonly WaitingAttempt[] {
    const hopeless: WaitingAttempt[] = [];
    for (const heap of this.heaps) {
      for (let next = heap.first; next !== undefined && isHopeless(next, at); next = heap.first) {
        heap.take();
        this.late.delete(next);
        hopeless.push(next);
      }
    }
    return hopeless;
  }

  private readonly late = new Set<WaitingAttempt>();

  private get heaps(): readonly DeadlineHeap<WaitingAttempt>[] {
    const { first, retries } = this;
    return [first.timely, first.late, retries.timely, retries.late];
  }

  private takeFrom({ timely, late }: ClassQueue['first'], at: number): WaitingAttempt | undefined {
    for (;;) {
      const next = timely.take();
      if (next === undefined) {
        return late.take();
      }
      if (isTimely(next, at)) {
        return next;
      }
      this.late.add(next);
      late.add(next);
    }
  }
}

const newHeap = (): DeadlineHeap<WaitingAttempt> => new DeadlineHeap<WaitingAttempt>();

/**
 * Whether an attempt that starts now can be answered within the objective. An attempt for a request that has half of its
 * parts counts as timely: the replicas' work on the others would be lost if it were abandoned in favor of other requests.
 */
const isTimely = ({ request, usualMs }: WaitingAttempt, at: number): boolean =>
  at + usualMs <= request.objectiveAt || request.answeredLegs * 2 >= request.legs.length;

/** Whether an attempt that starts now would usually end after the deadline. */
const isHopeless = ({ usualMs, deadlineAt }: WaitingAttempt, at: number): boolean =>
  at + usualMs > deadlineAt;

/**
 * Waiting attempts in the order in which they start: classes that are due, then by rank; within a class, attempts that can
 * still be answered within their objective first, then by deadline.
 */
export class WaitingQueue {
  private readonly classes: ClassQueue[] = [];
  private readonly shares = new ClassShares();
  private intervalMs: number;
  private startedAt = Number.NEGATIVE_INFINITY;
  size = 0;

  /** @param intervalMs - initial estimate of the interval between starts, in milliseconds */
  constructor(intervalMs: number) {
    this.intervalMs = intervalMs;
  }

  /** Adds an attempt that has not waited before. */
  add(waiting: WaitingAttempt): void {
    if (this.size === 0) {
      // The time since the last start does not show how fast attempts start while others wait.
      this.startedAt = Number.NEGATIVE_INFINITY;
    }
    this.shares.addOffered(waiting.request.rank);
    this.putBack(waiting);
  }

  /** Adds an attempt that was taken and did not start. */
  putBack(waiting: WaitingAttempt): void {
    waiting.isQueued = true;
    this.size += 1;
    this.classOf(waiting.request.rank).add(waiting);
  }

  /** Removes an attempt. */
  remove(waiting: WaitingAttempt): void {
    if (waiting.isQueued) {
      waiting.isQueued = false;
      this.size -= 1;
      this.classOf(waiting.request.rank).remove(waiting);
    }
  }

  /**
   * Removes and returns the next attempt.
   *
   * @param withoutRetries - classes whose retries may not start, because a first attempt of the class cannot start now
   * @param leftOut - classes none of whose attempts are returned
   */
  take(
    withoutRetries: ReadonlySet<ClassRank>,
    at: number,
    leftOut: ReadonlySet<ClassRank> = NO_CLASSES,
  ): WaitingAttempt | undefined {
    const allowed = this.classes.filter(({ rank }) => !leftOut.has(rank));
    const due = allowed.filter(({ rank }) => this.shares.isDue(rank));
    for (const queue of [...due, ...allowed]) {
      const next = queue.take(!withoutRetries.has(queue.rank), at);
      if (next !== undefined) {
        next.isQueued = false;
        this.size -= 1;
        return next;
      }
    }
    return undefined;
  }

  /** Removes and returns the attempts that can no longer be answered before their deadlines. */
  takeHopeless(at: number): readonly WaitingAttempt[] {
    const hopeless = this.classes.flatMap((queue) => queue.takeHopeless(at));
    hopeless.forEach((waiting) => {
      waiting.isQueued = false;
    });
    this.size -= hopeless.length;
    return hopeless;
  }

  /** Records the start of an attempt that was taken. */
  recordStart({ request: { rank } }: WaitingAttempt, at: number): void {
    this.shares.addStarted(rank);
    const interval = at - this.startedAt;
    if (interval < MAX_INTERVAL_MS) {
      this.intervalMs += INTERVAL_WEIGHT * (interval - this.intervalMs);
    }
    this.startedAt = at;
  }

  /** Number of waiting attempts of this class and of more urgent ones. */
  sizeUpTo(rank: ClassRank): number {
    return this.classes.reduce((sum, queue) => (queue.rank <= rank ? sum + queue.size : sum), 0);
  }

  /** Number of waiting attempts of each class. */
  sizes(): readonly { readonly rank: ClassRank; readonly size: number }[] {
    return this.classes.map(({ rank, size }) => ({ rank, size }));
  }

  /**
   * Expected wait of a new attempt of a class, in milliseconds: the attempts before it at the recent interval between
   * starts, but at least as long as one of this class or a more urgent one has waited already.
   */
  expectedWait(rank: ClassRank, at: number): number {
    const ahead = this.sizeUpTo(rank);
    if (ahead === 0) {
      return 0;
    }
    const queues = this.classes.filter((queue) => queue.rank <= rank && queue.size > 0);
    const oldest = Math.min(...queues.map(({ oldestSince }) => oldestSince));
    return Math.max(ahead * this.intervalMs, at - oldest);
  }

  /** Expected wait of each class that waits. */
  waits(at: number): readonly ClassWait[] {
    return this.classes
      .filter(({ size }) => size > 0)
      .map(({ rank }) => ({ rank, waitMs: this.expectedWait(rank, at) }));
  }

  private classOf(rank: ClassRank): ClassQueue {
    const known = this.classes.find((queue) => queue.rank === rank);
    if (known !== undefined) {
      return known;
    }
    const created = new ClassQueue(rank);
    this.classes.push(created);
    this.classes.sort((left, right) => left.rank - right.rank);
    return created;
  }
}
