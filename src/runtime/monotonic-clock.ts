/** The clock that timestamps all events. */

/** A clock in milliseconds since an arbitrary start; it never goes back. */
export interface MonotonicClock {
  now(): number;
}

/** Creates a monotonic clock of this process. */
export const createMonotonicClock = (): MonotonicClock => {
  let latest = 0;
  return {
    now() {
      latest = Math.max(latest, performance.now());
      return latest;
    },
  };
};
