/** Names of the guarantees that the nodes give; load callers and simulations check them. */

/** All guarantees; the last three can be checked only in simulation. */
export const PROMISE_NAMES = [
  'one-snapshot',
  'true-coverage',
  'own-answer-only',
  'not-run-did-not-run',
  'at-most-once',
  'leaving-gets-no-new-work',
  'planned-stop-cuts-nothing',
  'configuration-in-force-never-reverts',
] as const;

/** Name of a guarantee. */
export type PromiseName = (typeof PROMISE_NAMES)[number];
