/** Finds the roster of a period and determines what this process may answer for under it. */
import { ROSTER_SLOTS, type KeeperRoster, type PartnerHome } from '../../catalog/keeper-roster.js';
import type { NodeId } from '../identifiers.js';
import type { CoreState } from '../state.js';
import { CLOCK_MARGIN_MS, PERIOD_MS } from './keeper-timing.js';

/** Returns the period of a wall-clock time, given in milliseconds since 1970. */
export const periodOf = (wallTime: number): number => Math.floor(wallTime / PERIOD_MS);

/** Converts `at` to this node's wall-clock time, in milliseconds since 1970. */
export const wallTimeAt = (state: CoreState, at: number): number => state.keepers.wallOffset + at;

/** Removes rosters of past periods, so that the table stays bounded. */
const removePastRosters = (usedRosters: Map<number, KeeperRoster>, period: number): void => {
  for (const past of usedRosters.keys()) {
    if (past < period - ROSTER_SLOTS) {
      usedRosters.delete(past);
    }
  }
};

const isSameHome = (a: PartnerHome, b: PartnerHome | undefined): boolean =>
  a.partner === b?.partner && a.zones.join() === b.zones.join();

const hasSameHomes = ({ homes: a = [] }: KeeperRoster, { homes: b = [] }: KeeperRoster): boolean =>
  a.length === b.length && a.every((home, index) => isSameHome(home, b[index]));

/**
 * Whether both rosters give each subject the same processes. A restored store may return an equal
 * roster under another revision.
 */
const hasSameKeepers = (a: KeeperRoster, b: KeeperRoster): boolean =>
  hasSameHomes(a, b) &&
  a.keepers.length === b.keepers.length &&
  a.keepers.every(({ node, incarnation }, index) => {
    const other = b.keepers[index];
    return other?.node === node && other.incarnation === incarnation;
  });

/**
 * Finds the roster of `period`; undefined when this node holds none, or when it has used a
 * different one for this period before, which happens if the store lost an accepted write.
 */
export const findRoster = (state: CoreState, period: number): KeeperRoster | undefined => {
  const held = state.configuration.inForce.rosters.get(period);
  const { usedRosters } = state.keepers;
  const known = usedRosters.get(period);
  if (held === undefined || held === known) {
    return held;
  }
  if (known !== undefined && !hasSameKeepers(known, held)) {
    return undefined;
  }
  removePastRosters(usedRosters, period);
  usedRosters.set(period, held);
  return held;
};

/** Returns the newest incarnation under which peers know this process. */
const currentIncarnation = (state: CoreState): number =>
  state.membership.members.get(state.self.node)?.identity.incarnation ?? state.self.incarnation;

/**
 * Whether `roster` names this process, not another one of the same node. The process has then
 * received every request sent to its node under the roster. No clock is involved.
 */
export const isNamedProcess = (state: CoreState, roster: KeeperRoster): boolean => {
  const node: NodeId = state.self.node;
  const keeper = roster.keepers.find((candidate) => candidate.node === node);
  return (
    keeper !== undefined &&
    keeper.incarnation >= state.keepers.startIncarnation &&
    keeper.incarnation <= currentIncarnation(state)
  );
};

/**
 * Whether no earlier process of this node can have accepted a request for wall-clock time `time`
 * or later, because each process refuses times more than `leadMs` milliseconds ahead of its clock.
 */
export const isAfterStart = (state: CoreState, time: number, leadMs: number): boolean =>
  time > state.keepers.startIncarnation + leadMs + CLOCK_MARGIN_MS;
