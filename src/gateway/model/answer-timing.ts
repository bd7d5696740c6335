/** What is measured and recorded about the time of an answer. */

/** The route of an answer, and when it was decided, in milliseconds on the gateway's clock. */
export interface Handover {
  readonly route: string;
  readonly decidedAt: number;
}
