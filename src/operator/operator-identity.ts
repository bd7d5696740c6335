/** The identity of an authenticated operator. */
import type { PartnerId } from '../core/identifiers.js';

/** An operator of a partner. */
export interface OperatorIdentity {
  readonly partner: PartnerId;
  /** Name of the operator's key. */
  readonly operator: string;
}

/** Hono variables of the routes that require authentication. */
export interface OperatorEnvironment {
  Variables: { identity: OperatorIdentity };
}
