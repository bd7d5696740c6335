/** An attempt whose connection broke while the replica may have been running it. */
import type { ActiveAttempt } from '../requests/request-state.js';

/** The attempt, and when its connection broke, in milliseconds on this gateway's clock. */
export interface BrokenAttempt {
  readonly attempt: ActiveAttempt;
  readonly brokenAt: number;
}
