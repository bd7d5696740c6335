/** State of the keepers slice, for keepers and for writers of rosters. */
import type { KeeperRoster } from '../../catalog/keeper-roster.js';
import type { ZoneName } from '../identifiers.js';

/** State of the keepers slice. */
export interface KeepersState {
  /** Time of the `started` event, in milliseconds on the monotonic clock. */
  startedAt: number;
  /** Difference of wall clock and monotonic clock, in milliseconds, read once at the start. */
  wallOffset: number;
  /** Incarnation of this process when it started; greater than those of earlier processes. */
  startIncarnation: number;
  /** The zone whose first reader writes rosters, cached for a version of the view. */
  writer: { readonly viewVersion: number; readonly zone: ZoneName } | undefined;
  /** Time of the last write of a roster, and the period written. */
  lastWrite: { readonly at: number; readonly period: number } | undefined;
  /** The rosters this process has used, by period. */
  readonly usedRosters: Map<number, KeeperRoster>;
}

/** Creates the state of a node that has not started. */
export const createKeepersState = (): KeepersState => ({
  startedAt: 0,
  wallOffset: 0,
  startIncarnation: 0,
  writer: undefined,
  lastWrite: undefined,
  usedRosters: new Map(),
});
