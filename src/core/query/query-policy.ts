/** Policies for running queries. Production uses the defaults; the other values are for comparisons. */

/** How the replica of a leg is chosen: uniformly at random, or by this node's observations. */
export type ReplicaChoice = 'random' | 'observed';

/**
 * When a slow leg gets a second attempt: never, after a fixed delay without a budget, or at a quantile
 * of the observed latencies within the row's extra-load budget.
 */
export type Hedging = 'none' | 'fixed' | 'adaptive';

/** Order in which a feeder sends its queued legs: by arrival, or by weighted fair shares. */
export type FeederOrder = 'first-come' | 'fair';

/** Settings of the query path. */
export interface QueryPolicy {
  readonly replicaChoice: ReplicaChoice;
  readonly hedging: Hedging;
  /** Delay of hedging `fixed`, in milliseconds. */
  readonly fixedHedgeDelayMs: number;
  /** Whether a failed leg gets another attempt if it may be repeated. */
  readonly retries: boolean;
  readonly feederOrder: FeederOrder;
  /** Number of nodes that feed each replica and divide its slots and connections; at least 1. */
  readonly feedersPerReplica: number;
  /** How long a feeder may delay an answer to send it with others of its query, in milliseconds. */
  readonly resultWaitMs: number;
}

/** The policy of a node without other settings. */
export const DEFAULT_QUERY_POLICY: QueryPolicy = {
  replicaChoice: 'observed',
  hedging: 'adaptive',
  fixedHedgeDelayMs: 20,
  retries: true,
  feederOrder: 'fair',
  feedersPerReplica: 1,
  resultWaitMs: 2,
};
