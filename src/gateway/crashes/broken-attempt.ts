/** A run at a replica that broke off. */
import type { ActiveAttempt } from '../requests/request-state.js';

/** What broke off, and when, in milliseconds on this gateway's clock. */
export interface BrokenAttempt {
  readonly attempt: ActiveAttempt;
  readonly brokenAt: number;
}
