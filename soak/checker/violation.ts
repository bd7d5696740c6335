/** The promises that the soak checks, and their violations. */

/** Names of the promises, in the order of the report. */
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
  'poison-requests',
  'hidden-keys',
  'tenant-names',
  'unknown-keys',
  'revoked-keys',
  'needless-401',
  'quotas',
  'class-order',
  'recovery',
  'no-unexpected-exit',
] as const;

/** Name of a promise. */
export type PromiseName = (typeof PROMISES)[number];

/** Promises that only runs with tenants check. */
export const TENANT_PROMISES: readonly PromiseName[] = [
  'hidden-keys',
  'tenant-names',
  'unknown-keys',
  'revoked-keys',
  'needless-401',
  'quotas',
];

/** One violation of a promise. */
export interface Violation {
  readonly promise: PromiseName;
  /** Time of the observation, in milliseconds on the monotonic clock of the soak process. */
  readonly at: number;
  /** Number of the gateway, if it is known. */
  readonly gateway?: number;
  readonly requestId?: string;
  /** The observation and what contradicts it. */
  readonly text: string;
}
