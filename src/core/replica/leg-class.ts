/** The class of a leg: whose share of a replica it uses, and what weight its kind has in that. */
import type { ConfigurationInForce } from '../configuration/state.js';
import type { PartnerId } from '../identifiers.js';

/** What fair order needs to know of a leg. */
export interface LegClass {
  readonly partner: PartnerId;
  /** Share of the partner in the pool, more than 0. */
  readonly share: number;
  /** Names the row. */
  readonly row: string;
  /** Weight of the row among the partner's rows, more than 0. */
  readonly weight: number;
}

/** Classes by row, derived from one configuration in force. */
export interface LegClassCache {
  inForce: ConfigurationInForce | undefined;
  readonly classes: Map<string, LegClass>;
}
