/** What a plan is made from: sizes of the tier, its back ends and its traffic. */

/** Replicas of one make. */
export interface PlanGroup {
  readonly name: string;
  readonly replicas: number;
  /** Requests a replica works on at once. */
  readonly slots: number;
  /** Connections a replica accepts, over all nodes together. */
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

/** Processor time of a node's work, in microseconds. */
export interface ProcessorCosts {
  /** One leg over HTTP to a replica and back, at its feeder. */
  readonly legOverHttp: number;
  /** One leg within a message, to encode or to decode. */
  readonly legInMessage: number;
  /** One message between nodes, to send or to receive, without its legs. */
  readonly message: number;
}

/** All that a plan is made from. */
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
 * First slopes on the development machine: an undici pool's request, cbor-x with records and batches
 * of 64 legs, cbor-x of a small message. A message's cost leaves out the socket.
 */
export const DEFAULT_PROCESSOR_COSTS: ProcessorCosts = {
  legOverHttp: 92,
  legInMessage: 0.5,
  message: 0.9,
};
