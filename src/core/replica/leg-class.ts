/** The class of a leg: the partner whose share of a replica it uses, and its row's weight in that share. */
import type { ConfigurationInForce } from '../configuration/state.js';
import type { PartnerId } from '../identifiers.js';

/** The properties of a leg that determine its place in a fair queue. */
export interface LegClass {
  readonly partner: PartnerId;
  /** Share of the partner in the pool; greater than 0. */
  readonly share: number;
  /** Key of the row. */
  readonly row: string;
  /** Weight of the row among the partner's rows; greater than 0. */
  readonly weight: number;
}

/** Cache of classes by row, derived from one configuration in force. */
export interface LegClassCache {
  inForce: ConfigurationInForce | undefined;
  readonly classes: Map<string, LegClass>;
}
