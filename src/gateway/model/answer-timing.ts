/** What is measured and recorded about the time of an answer. */

/** The route of an answer, and when it was decided, in milliseconds on the gateway's clock. */
export interface Handover {
  readonly route: string;
  readonly decidedAt: number;
}

/** Inputs of the decision to answer a gather, for its trace. */
export interface AnswerInputs {
  /** Margin before the objective, in milliseconds; without enough samples it is the fixed one. */
  readonly marginMs: number;
  readonly isMeasured: boolean;
  /** Number of parts that were expected until the next time considered; absent if none was considered. */
  readonly expectedParts?: number;
  /** Probability that the answer is late, now and at that time; absent if none was considered. */
  readonly lateShare?: number;
  readonly lateShareThen?: number;
}
