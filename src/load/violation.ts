/** Broken promises, found by callers, by an audit of the replicas' records or by a simulation. */
import type { PromiseName } from '../protocol/promise-name.js';

/** One broken promise. */
export interface Violation {
  readonly promise: PromiseName;
  /** The request or idempotency key concerned, or the time at which a simulation found it. */
  readonly subject: string;
  /** Description of what was observed. */
  readonly seen: string;
}
