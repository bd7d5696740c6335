/** Notes disturbances, and stalls of the soak's own process. */
import type { Disturbance, Observations, Scope } from '../model/observations.js';

/** How often the process looks whether it stood still, in milliseconds. */
const STALL_CHECK_MS = 50;

/** A stall that is noted, in milliseconds: it takes a good part of the tightest bounds. */
const MIN_STALL_MS = 200;

/** Ends a disturbance. */
export type EndDisturbance = () => void;

/** Notes that something begins to go wrong; the result notes that it is over. */
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

/** Notes times in which this process did nothing; the result ends that. */
export const watchForStalls = ({ disturbances }: Observations): (() => void) => {
  let last = performance.now();
  const timer = setInterval(() => {
    const now = performance.now();
    if (now - last > MIN_STALL_MS) {
      const scope = { type: 'everything' } as const;
      disturbances.push({ scope, what: 'soak stood still', planned: false, from: last, to: now });
    }
    last = now;
  }, STALL_CHECK_MS);
  return () => clearInterval(timer);
};
