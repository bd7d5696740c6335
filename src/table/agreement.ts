/** The agreement between the partners: how the pool of shard capacity is divided. */
import type { PartnerId } from '../core/identifiers.js';
import type { EditRecord } from './sheet.js';

/** A partner's share of the pool. */
export interface PoolShare {
  readonly partner: PartnerId;
  /** 0 to 1; the shares of all partners sum to 1. */
  readonly share: number;
}

/** A proposed change of the agreement; it takes effect when every partner has approved it. */
export interface AgreementProposal {
  readonly proposal: string;
  readonly proposedBy: PartnerId;
  readonly shares: readonly PoolShare[];
  readonly approvedBy: readonly PartnerId[];
}

/** The content of the store object `agreement`. */
export interface Agreement {
  readonly shares: readonly PoolShare[];
  /** At most one proposal per partner, so that a partner cannot replace another partner's proposal. */
  readonly proposals?: readonly AgreementProposal[];
  /** Accepted edits, newest last; at most `HISTORY_LIMIT` of them. */
  readonly history?: readonly EditRecord[];
}
