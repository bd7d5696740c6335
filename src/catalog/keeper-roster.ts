/**
 * Rosters of keepers, which nodes write to the platform's store.
 *
 * Time is divided into periods. Each period has one roster, which never changes once created. All
 * nodes therefore count majorities of keepers against the same roster, even if their views of the
 * live members differ.
 */
import {
  identifier,
  type NodeId,
  type ObjectName,
  type PartnerId,
  type ZoneName,
} from '../core/identifiers.js';

/** Number of store objects that hold rosters, reused in turn; exceeds the number of periods in use. */
export const ROSTER_SLOTS = 64;

/** A process that stores claims and votes on leases during a period. */
export interface Keeper {
  readonly node: NodeId;
  readonly zone: ZoneName;
  /** Incarnation of the process when the roster was written; distinguishes a restarted process. */
  readonly incarnation: number;
}

/** The zones that contained a partner's replicas when the roster was written. */
export interface PartnerHome {
  readonly partner: PartnerId;
  readonly zones: readonly ZoneName[];
}

/** The keepers of one period. */
export interface KeeperRoster {
  /** Number of the period since 1970, see `periodOf`. */
  readonly period: number;
  readonly keepers: readonly Keeper[];
  /** At most one per partner; the keepers of a partner without one are in all zones. */
  readonly homes?: readonly PartnerHome[];
}

/** Name of the store object that holds the roster of `period`; a later period reuses the object. */
export const rosterObjectName = (period: number): ObjectName =>
  identifier<ObjectName>(`keepers/${period % ROSTER_SLOTS}`);
