/** State of a node as keeper and as writer of rosters. */

import type { KeeperRoster } from '../../catalog/keeper-roster.js';
import type { ZoneName } from '../identifiers.js';

/** When this process began, and the rosters it has relied on. */
export interface KeepersState {
  /** Time of the `started` event, in milliseconds on the monotonic clock. */
  startedAt: number;
  /** Wall clock less monotonic clock, in milliseconds, as read once at the start. */
  wallOffset: number;
  /** Incarnation of this process when it started; earlier processes had smaller ones. */
  startIncarnation: number;
  /** The zone whose first reader writes rosters, as of a version of the view. */
  writer: { readonly viewVersion: number; readonly zone: ZoneName } | undefined;
  /** Time of the last write of a roster, and the period written. */
  lastWrite: { readonly at: number; readonly period: number } | undefined;
  /** The rosters this process has relied on, by period. */
  readonly usedRosters: Map<number, KeeperRoster>;
}

/** Creates the state of a node that has not started yet. */
export const createKeepersState = (): KeepersState => ({
  startedAt: 0,
  wallOffset: 0,
  startIncarnation: 0,
  writer: undefined,
  lastWrite: undefined,
  usedRosters: new Map(),
});
