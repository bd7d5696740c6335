/** Orders of the operator that the replicas of a zone get no requests. */

/** One order; it stands until its object is gone from the store. */
export interface Evacuation {
  readonly zone: string;
}
