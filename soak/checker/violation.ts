/** A promise that was not kept, as it was seen. */

/** The promises; each has a check of its own. */
export const PROMISES = [
  'whole-answers',
  'unchanged-requests',
  'at-most-once',
  'refused-never-ran',
  'drained-replicas',
  'spoilt-entries',
  'configuration',
  'planned-stops',
  'retry-budget',
  'callers-gone',
  'lethal-requests',
  'recovery',
  'no-own-end',
] as const;

/** One of the promises. */
export type PromiseName = (typeof PROMISES)[number];

/** One finding of a check. */
export interface Violation {
  readonly promise: PromiseName;
  /** When it was seen, in milliseconds on the steady clock of the soak. */
  readonly at: number;
  /** The gateway concerned, where one is known. */
  readonly gateway?: number;
  readonly requestId?: string;
  /** What was seen and what was promised. */
  readonly text: string;
}
