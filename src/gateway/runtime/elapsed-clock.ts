/**
 * The clock of a gateway. Node's monotonic clock does not count the time for which the machine was suspended: after a
 * suspension, leases, drains, deadlines and all known state would seem as recent as before. This clock counts it, so
 * that a suspension has the same effect as a process pause of the same length.
 */
import { uptime } from 'node:os';
import type { MonotonicClock } from '../../runtime/monotonic-clock.js';

/** A larger change of the time of day relative to the steady clock is checked for a suspension, in milliseconds. */
const JUMP_MS = 100;

/** Maximum difference between two clocks that agree on a suspension, in milliseconds; one has a resolution of 10 ms. */
const AGREEMENT_MS = 50;

/** Readings of the clocks that took longer than this are not comparable, in milliseconds. */
const MAX_READING_MS = 10;

/** Two readings of the clock this far apart indicate a process pause, in milliseconds. */
const PAUSE_THRESHOLD_MS = 1_500;

/** Interval at which an idle process reads its clock, in milliseconds. */
export const CLOCK_READING_INTERVAL_MS = 500;

const MS_PER_SECOND = 1_000;

/** The clocks of the machine, in milliseconds; each has its own origin. */
export interface ClockReadings {
  /** Never goes back; does not count suspensions. */
  steady(): number;
  /** Counts suspensions; may be set forwards and back. */
  timeOfDay(): number;
  /** Time since the machine was started, including suspensions. On a virtual machine this may be that of the host. */
  sinceBoot(): number;
}

/** A period in which the process did not run, in milliseconds. */
export interface ProcessPause {
  readonly forMs: number;
  /** How much of `forMs` the machine was suspended. */
  readonly suspendedMs: number;
}

/** Options of a clock. */
export interface ElapsedClockOptions {
  /** Defaults to the clocks of this process. */
  readonly readings?: ClockReadings;
  /** Called while the clock is read, which may happen at any point of the program. */
  readonly onPause: (pause: ProcessPause) => void;
}

const PROCESS_READINGS: ClockReadings = {
  steady: () => performance.now(),
  timeOfDay: () => Date.now(),
  sinceBoot: () => uptime() * MS_PER_SECOND,
};

/** A monotonic clock that counts suspensions. */
export class ElapsedClock implements MonotonicClock {
  private readonly readings: ClockReadings;
  private readonly onPause: ElapsedClockOptions['onPause'];
  private timeOfDayOffset: number;
  private bootOffset: number;
  private suspendedMs = 0;
  private latest: number;

  constructor({ readings = PROCESS_READINGS, onPause }: ElapsedClockOptions) {
    const steady = readings.steady();
    this.readings = readings;
    this.onPause = onPause;
    this.timeOfDayOffset = readings.timeOfDay() - steady;
    this.bootOffset = readings.sinceBoot() - steady;
    this.latest = steady;
  }

  now(): number {
    const { latest: previous, suspendedMs } = this;
    const steady = this.readings.steady();
    if (Math.abs(this.readings.timeOfDay() - steady - this.timeOfDayOffset) > JUMP_MS) {
      this.detectSuspension();
    }
    this.latest = Math.max(previous, steady + this.suspendedMs);
    const forMs = this.latest - previous;
    if (forMs >= PAUSE_THRESHOLD_MS) {
      this.onPause({ forMs, suspendedMs: this.suspendedMs - suspendedMs });
    }
    return this.latest;
  }

  /**
   * Distinguishes a suspension from a change of the time of day: after a suspension, the time since boot has jumped by
   * the same amount. A jump of the time since boot alone does not count, since it may be that of the host of a virtual
   * machine.
   */
  private detectSuspension(): void {
    const { readings } = this;
    const steady = readings.steady();
    const timeOfDayJump = readings.timeOfDay() - steady - this.timeOfDayOffset;
    const bootJump = readings.sinceBoot() - steady - this.bootOffset;
    if (readings.steady() - steady > MAX_READING_MS) {
      return;
    }
    this.timeOfDayOffset += timeOfDayJump;
    if (timeOfDayJump > JUMP_MS && Math.abs(bootJump - timeOfDayJump) <= AGREEMENT_MS) {
      this.suspendedMs += timeOfDayJump;
      this.bootOffset += timeOfDayJump;
    }
  }
}
