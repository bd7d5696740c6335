/** Timers of a simulated process, by key. */
import type { TimerKey } from '../core/timer-key.js';
import type { ScheduledAction, Scheduler } from './scheduler.js';

/** A timer that has been set and has not yet fired. */
export interface SetTimerEntry {
  readonly key: TimerKey;
  readonly action: ScheduledAction;
}

/** Holds the timers of a process; setting a timer replaces an earlier one with the same key. */
export class Timers {
  private readonly entries = new Map<string, Map<string, SetTimerEntry>>();

  constructor(
    private readonly scheduler: Scheduler,
    private readonly onExpired: (entry: SetTimerEntry) => void,
  ) {}

  /** Sets a timer that expires after `delayMs` milliseconds. */
  set(key: TimerKey, delayMs: number): void {
    this.cancel(key);
    const entry: SetTimerEntry = {
      key,
      action: this.scheduler.schedule(delayMs, () => {
        this.onExpired(entry);
      }),
    };
    this.entriesFor(key.purpose).set(key.subject, entry);
  }

  /** Cancels a timer; does nothing if it is not set. */
  cancel(key: TimerKey): void {
    const ofPurpose = this.entries.get(key.purpose);
    const entry = ofPurpose?.get(key.subject);
    if (entry !== undefined) {
      this.scheduler.cancel(entry.action);
      ofPurpose?.delete(key.subject);
    }
  }

  /** Removes an expired timer; returns false if it was cancelled or replaced in the meantime. */
  removeExpired(entry: SetTimerEntry): boolean {
    const ofPurpose = this.entries.get(entry.key.purpose);
    if (ofPurpose?.get(entry.key.subject) !== entry) {
      return false;
    }
    ofPurpose.delete(entry.key.subject);
    return true;
  }

  /** Cancels all timers. */
  cancelAll(): void {
    for (const ofPurpose of this.entries.values()) {
      for (const entry of ofPurpose.values()) {
        this.scheduler.cancel(entry.action);
      }
    }
    this.entries.clear();
  }

  private entriesFor(purpose: string): Map<string, SetTimerEntry> {
    const found = this.entries.get(purpose);
    if (found !== undefined) {
      return found;
    }
    const created = new Map<string, SetTimerEntry>();
    this.entries.set(purpose, created);
    return created;
  }
}
