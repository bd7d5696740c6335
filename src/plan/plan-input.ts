/** Input of a plan: sizes of the tier, its back ends and its traffic. */

/** Replicas of the same size. */
export interface PlanGroup {
  readonly name: string;
  readonly replicas: number;
  /** Requests that a replica processes at once. */
  readonly slots: number;
  /** Connections that a replica accepts, from all nodes together. */
  readonly connections: number;
  /** Mean time of a leg in a slot, in milliseconds. */
  readonly legMs: number;
}

/** Legs of a query in one group. */
export interface PlanLegs {
  readonly group: string;
  readonly legs: number;
}

/** Queries of one row. */
export interface PlanRoute {
  readonly name: string;
  /** Share of all queries, 0 to 1; the shares of all routes sum to 1. */
  readonly share: number;
  readonly legs: readonly PlanLegs[];
  readonly concurrentLimit?: number;
  readonly perSecondLimit?: number;
}

/** Processor time of units of a node's work, in microseconds. */
export interface ProcessorCosts {
  /** One leg over HTTP to a replica and back, at the feeder. */
  readonly legOverHttp: number;
  /** Encoding or decoding of one leg in a message. */
  readonly legInMessage: number;
  /** Sending or receiving of one message between nodes, without its legs. */
  readonly message: number;
}

/** The input of a plan. */
export interface PlanInput {
  readonly nodes: number;
  readonly zones: number;
  /** Queries a second, over all nodes together. */
  readonly queriesPerSecond: number;
  /** Hedges, retries and restarts as a share of needed legs. */
  readonly extraLoad: number;
  /** Nodes that feed each replica. */
  readonly feedersPerReplica: number;
  readonly groups: readonly PlanGroup[];
  readonly routes: readonly PlanRoute[];
  readonly costs: ProcessorCosts;
}

/**
 * Default costs, from the development machine: a request through an undici pool, cbor-x with
 * records and batches of 64 legs, and cbor-x of a small message. The cost of a message does not
 * include the socket.
 */
export const DEFAULT_PROCESSOR_COSTS: ProcessorCosts = {
  legOverHttp: 92,
  legInMessage: 0.5,
  message: 0.9,
};
