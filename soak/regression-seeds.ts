/** Seeds of which a run has failed, each with its cause; `npm run soak -- --regressions` plays them again. */

/** A run that has failed once. */
export interface RegressionSeed {
  readonly seed: number;
  readonly gateways: number;
  readonly minutes: number;
  readonly cause: string;
}

/** All of them, in the order in which they were found. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  {
    seed: 3,
    gateways: 6,
    minutes: 1,
    cause:
      'SIGHUP and SIGTERM ended a process that had just been started: it takes callers some 100 ms ' +
      'before it listens for signals',
  },
];
