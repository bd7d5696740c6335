/** Records disturbances and stalls of the soak process itself. */
import type { Disturbance, Observations, Scope } from '../model/observations.js';

/** Interval at which the process checks whether it stalled, in milliseconds. */
const STALL_CHECK_MS = 50;

/** Minimum stall that is recorded, in milliseconds: a considerable part of the tightest bounds. */
const MIN_STALL_MS = 200;

/** Records the end of a disturbance. */
export type EndDisturbance = () => void;

/** Records the start of a disturbance; the returned function records its end. */
export const beginDisturbance = (
  { disturbances }: Observations,
  scopes: readonly Scope[],
  what: string,
  planned = false,
): EndDisturbance => {
  const from = performance.now();
  const begun = scopes.map((scope): Disturbance => ({
    scope,
    what,
    planned,
    from,
    to: Number.POSITIVE_INFINITY,
  }));
  disturbances.push(...begun);
  return () => {
    for (const disturbance of begun) {
      disturbance.to = performance.now();
    }
  };
};

/** Records periods in which this process was blocked or not scheduled; the returned function stops the recording. */
export const watchForStalls = ({ disturbances }: Observations): (() => void) => {
  let last = performance.now();
  const timer = setInterval(() => {
    const now = performance.now();
    if (now - last > MIN_STALL_MS) {
      const scope = { type: 'everything' } as const;
      disturbances.push({
        scope,
        what: 'soak process stalled',
        planned: false,
        from: last,
        to: now,
      });
    }
    last = now;
  }, STALL_CHECK_MS);
  return () => clearInterval(timer);
};
