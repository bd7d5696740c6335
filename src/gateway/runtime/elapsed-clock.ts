/**
 * The clock of a gateway. Node's steady clock does not count the time for which the machine was suspended: leases, drains,
 * deadlines and the age of all that is known would be as young as before. This clock counts it, so that a suspension is to
 * the gateway as if its process had been stopped for as long.
 */
import { uptime } from 'node:os';
import type { MonotonicClock } from '../../runtime/monotonic-clock.js';

/** A change of the time of day against the steady clock by more than this is looked into, in milliseconds. */
const JUMP_MS = 100;

/** Two clocks agree on a suspension within this, in milliseconds: one is told in steps of 10 ms. */
const AGREEMENT_MS = 50;

/** Clocks that took longer than this to read do not tell the same moment, in milliseconds. */
const MAX_READING_MS = 10;

/** Readings of the clock that lie so far apart tell that the process stood still, in milliseconds. */
const PAUSE_THRESHOLD_MS = 1_500;

/** A process that has nothing to do reads its clock so often, in milliseconds. */
export const CLOCK_READING_INTERVAL_MS = 500;

const MS_PER_SECOND = 1_000;

/** The clocks of the machine, in milliseconds; each has a start of its own. */
export interface ClockReadings {
  /** Never goes back; does not count suspensions. */
  steady(): number;
  /** Counts suspensions; may be set, forwards and back. */
  timeOfDay(): number;
  /** Time since the machine has started, suspensions included. Where it is virtual this may be another machine's. */
  sinceBoot(): number;
}

/** The process did nothing for a while. In milliseconds. */
export interface ProcessPause {
  readonly forMs: number;
  /** How much of it the machine was suspended. */
  readonly suspendedMs: number;
}

/** What a clock is made of. */
export interface ElapsedClockOptions {
  /** The clocks of this process, unless others are given. */
  readonly readings?: ClockReadings;
  /** Told within a reading of the clock, which may be in the middle of anything. */
  readonly onPause: (pause: ProcessPause) => void;
}

const PROCESS_READINGS: ClockReadings = {
  steady: () => performance.now(),
  timeOfDay: () => Date.now(),
  sinceBoot: () => uptime() * MS_PER_SECOND,
};

/** Tells the time that has passed, suspensions included. */
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
   * Tells a suspension from a time of day that was set: the time since the start of the machine has jumped by as much.
   * Alone it is not believed, since it may be that of a host on which this machine is simulated.
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
