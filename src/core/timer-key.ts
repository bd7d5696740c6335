/** Keys of timers. Setting a timer whose key is already set replaces the earlier timer. */

/** The purpose of a timer; each purpose belongs to one slice of the core. */
export type TimerPurpose =
  | 'query-deadline'
  | 'query-hedge'
  | 'query-retry'
  | 'replica-dispatch'
  | 'attempt-deadline'
  | 'results-due'
  | 'admission-refresh'
  | 'admission-expiry'
  | 'keepers-roster'
  | 'once-resend'
  | 'once-expiry'
  | 'membership-probe'
  | 'membership-probe-timeout'
  | 'membership-suspicion'
  | 'membership-gossip'
  | 'membership-join'
  | 'configuration-exchange'
  | 'configuration-read'
  | 'configuration-machines'
  | 'configuration-survey'
  | 'editing-retry'
  | 'editing-deadline'
  | 'lifecycle-stop'
  | 'housekeeping';

/** The key of a timer. */
export interface TimerKey {
  readonly purpose: TimerPurpose;
  /**
   * The query, attempt, node or other subject of the timer; empty if there is only one such timer.
   */
  readonly subject: string;
}
