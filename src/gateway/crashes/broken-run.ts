/** A run at a replica that broke off. */
import type { Fingerprint } from '../model/request.js';

/** What broke off, in milliseconds on this gateway's clock. */
export interface BrokenRun {
  readonly fingerprint: Fingerprint;
  readonly sentAt: number;
  readonly brokenAt: number;
}
