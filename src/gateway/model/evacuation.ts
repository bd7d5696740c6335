/** Evacuation orders: the operator's orders to send no requests to the replicas of a zone. */

/** One evacuation order; it applies until its object is removed from the store. */
export interface Evacuation {
  readonly zone: string;
}
