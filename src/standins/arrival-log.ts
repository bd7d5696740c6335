/** Arrival times of the legs that reached a replica stand-in, whether it ran or refused them. */

/** Maximum number of arrivals kept; the oldest are dropped first. */
const ARRIVAL_LIMIT = 50_000;

/** Body of `GET /v1/arrivals`: times on the replica's clock, in milliseconds. */
export interface ArrivalsBody {
  readonly now: number;
  readonly arrivals: readonly number[];
}

/** Keeps the times of the most recent arrivals. */
export class ArrivalLog {
  private readonly times: number[] = [];

  /** Records the arrival of a leg at the time `at`. */
  record(at: number): void {
    this.times.push(at);
    if (this.times.length > ARRIVAL_LIMIT) {
      this.times.splice(0, ARRIVAL_LIMIT / 2);
    }
  }

  /** Returns the recorded arrivals with the current time. */
  read(now: number): ArrivalsBody {
    return { now, arrivals: this.times };
  }
}
