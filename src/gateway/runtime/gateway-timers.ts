/** Timers of a gateway: one for each request, one for each collection, one for the stop. */
import { type Deadline, DeadlineQueue } from '../../runtime/deadline-queue.js';
import type { MonotonicClock } from '../../runtime/monotonic-clock.js';
import type { CallId } from '../model/request.js';
import type { CollectionName } from '../store/collection.js';
import type { GatewayEventSink } from './gateway-loop.js';

type TimerKey = CallId | CollectionName | 'stop';

/** Sets timers and emits their events. */
export class GatewayTimers {
  private readonly timers = new Map<TimerKey, Deadline<TimerKey>>();
  private readonly deadlines: DeadlineQueue<TimerKey>;

  constructor(
    private readonly clock: MonotonicClock,
    private readonly sink: GatewayEventSink,
  ) {
    this.deadlines = new DeadlineQueue(clock, (key) => this.fire(key));
  }

  /** Sets the timer `key`, in place of any before. */
  set(key: TimerKey, at: number): void {
    this.cancel(key);
    this.timers.set(key, this.deadlines.set(key, at));
  }

  cancel(key: TimerKey): void {
    const timer = this.timers.get(key);
    if (timer !== undefined) {
      this.timers.delete(key);
      this.deadlines.cancel(timer);
    }
  }

  /** Forgets all timers. */
  close(): void {
    this.timers.clear();
    this.deadlines.clear();
  }

  private fire(key: TimerKey): void {
    this.timers.delete(key);
    const at = this.clock.now();
    if (typeof key === 'number') {
      this.sink.emit({ type: 'request-due', at, call: key });
    } else if (key === 'stop') {
      this.sink.emit({ type: 'stop-due', at });
    } else {
      this.sink.emit({ type: 'collection-due', at, collection: key });
    }
  }
}
