/** Timers of a gateway: one for each request and each collection, and a few for the process. */
import { type Deadline, DeadlineQueue } from '../../runtime/deadline-queue.js';
import type { MonotonicClock } from '../../runtime/monotonic-clock.js';
import type { CallId } from '../model/request.js';
import type { CollectionName } from '../store/collection.js';
import type { GatewayEventSink } from './gateway-loop.js';

type TimerKey =
  | CallId
  | CollectionName
  | 'stop'
  | 'probe'
  | 'reading'
  | 'registration'
  | 'crash-updates'
  | 'key-confirmation'
  | 'quotas'
  | 'scheduling';

/** Sets timers and emits their events. */
export class GatewayTimers {
  private readonly timers = new Map<TimerKey, Deadline<TimerKey>>();
  private readonly deadlines: DeadlineQueue<TimerKey>;

  constructor(
    private readonly clock: MonotonicClock,
    private readonly sink: GatewayEventSink,
    private readonly onStopDue: () => void,
  ) {
    this.deadlines = new DeadlineQueue(clock, (key) => this.fire(key));
  }

  /** Sets the timer `key` and replaces the previous one; `at` is in milliseconds on the clock. */
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

  /** Recomputes the time to the next timer after the clock has jumped. */
  refresh(): void {
    this.deadlines.refresh();
  }

  /** Cancels all timers. */
  close(): void {
    this.timers.clear();
    this.deadlines.clear();
  }

  private fire(key: TimerKey): void {
    this.timers.delete(key);
    const at = this.clock.now();
    switch (key) {
      case 'stop':
        return this.onStopDue();
      case 'probe':
        return this.sink.emit({ type: 'probe-due', at });
      case 'reading':
        return this.sink.emit({ type: 'reading-due', at });
      case 'registration':
        return this.sink.emit({ type: 'registration-due', at });
      case 'crash-updates':
        return this.sink.emit({ type: 'crash-updates-due', at });
      case 'key-confirmation':
        return this.sink.emit({ type: 'key-confirmation-due', at });
      case 'quotas':
        return this.sink.emit({ type: 'quotas-due', at });
      case 'scheduling':
        return this.sink.emit({ type: 'scheduling-due', at });
      case 'configuration':
      case 'replicas':
      case 'gateways':
      case 'evacuations':
        return this.sink.emit({ type: 'collection-due', at, collection: key });
      default:
        return this.sink.emit({ type: 'request-due', at, call: key });
    }
  }
}
