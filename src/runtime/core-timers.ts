/** Timers that the core sets. */
import type { SetTimer } from '../core/effect.js';
import type { TimerKey } from '../core/timer-key.js';
import type { EventSink } from './core-loop.js';
import { type Deadline, DeadlineQueue, TURNS_AFTER_STALL } from './deadline-queue.js';
import type { MonotonicClock } from './monotonic-clock.js';

const timerName = (key: TimerKey): string => `${key.purpose}|${key.subject}`;

/** Sets and cancels timers and emits `timer-fired`. */
export class CoreTimers {
  private readonly timers = new Map<string, Deadline<TimerKey>>();
  private readonly deadlines: DeadlineQueue<TimerKey>;

  constructor(
    private readonly clock: MonotonicClock,
    private readonly sink: EventSink,
  ) {
    this.deadlines = new DeadlineQueue(clock, (key) => this.handleDue(key), TURNS_AFTER_STALL);
  }

  set(effect: SetTimer): void {
    const text = timerName(effect.key);
    const earlier = this.timers.get(text);
    if (earlier !== undefined) {
      this.deadlines.cancel(earlier);
    }
    this.timers.set(text, this.deadlines.set(effect.key, effect.at));
  }

  cancel(key: TimerKey): void {
    const text = timerName(key);
    const timer = this.timers.get(text);
    if (timer !== undefined) {
      this.timers.delete(text);
      this.deadlines.cancel(timer);
    }
  }

  /** Cancels all timers. */
  close(): void {
    this.timers.clear();
    this.deadlines.clear();
  }

  private handleDue(key: TimerKey): void {
    this.timers.delete(timerName(key));
    this.sink.emit({ type: 'timer-fired', at: this.clock.now(), key });
  }
}
