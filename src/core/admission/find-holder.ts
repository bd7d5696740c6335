/**
 * Finds the node from which to request grants of a row's limits. It is the row's holder, the first live
 * member by rendezvous hashing. Where too many nodes would send requests to the holder, it
 * is the first member of the zone or of a group of the zone's nodes.
 */
import type { GrantRequester, GrantLevel } from '../../protocol/grant-messages.js';
import { hash32 } from '../hash.js';
import type { NodeId } from '../identifiers.js';
import { findFirstMember, findFirstOf } from '../keepers/first-member.js';
import { listLiveMembers } from '../membership/view.js';
import type { CoreState } from '../state.js';
import type { CachedHolder, GrantHolder, ZoneLevels } from './state.js';

/** Returns a power of two, so that joining or leaving members rarely change the groups of others. */
const countGroups = (zoneSize: number): number =>
  2 ** Math.ceil(Math.log2(Math.max(1, Math.sqrt(zoneSize))));

const groupOf = (node: NodeId, groups: number): number => hash32(node) % groups;

const chooseFirstLevel = (state: CoreState, live: number, inZone: number): GrantLevel => {
  const { maxRequesters: maxRequesters } = state.admission;
  if (live <= maxRequesters) {
    return 'row';
  }
  return inZone <= maxRequesters ? 'zone' : 'group';
};

const deriveLevels = (state: CoreState): ZoneLevels => {
  const { viewVersion } = state.membership;
  const live = listLiveMembers(state.membership);
  const zoneMembers = live.filter(({ zone }) => zone === state.self.zone).map(({ node }) => node);
  const groups = countGroups(zoneMembers.length);
  const group = groupOf(state.self.node, groups);
  return {
    viewVersion,
    first: chooseFirstLevel(state, live.length, zoneMembers.length),
    zoneMembers,
    groupMembers: zoneMembers.filter((node) => groupOf(node, groups) === group),
    group,
  };
};

const getZoneLevels = (state: CoreState): ZoneLevels => {
  const known = state.admission.zoneLevels;
  if (known?.viewVersion === state.membership.viewVersion) {
    return known;
  }
  const levels = deriveLevels(state);
  state.admission.zoneLevels = levels;
  return levels;
};

const getCachedHolder = (state: CoreState, row: string): CachedHolder => {
  const { viewVersion } = state.membership;
  const known = state.admission.holders.get(row);
  if (known?.viewVersion === viewVersion) {
    return known;
  }
  const holder = findFirstMember(state, `limit|${row}`);
  const cached = { viewVersion, holder, asked: new Map<GrantRequester, GrantHolder>() };
  state.admission.holders.set(row, cached);
  return cached;
};

/** Returns the holder of the row's limits according to this node's view. */
export const findHolder = (state: CoreState, row: string): NodeId =>
  getCachedHolder(state, row).holder;

/** Returns the level from which `asker` requests its grants. */
const levelAbove = (levels: ZoneLevels, asker: GrantRequester): GrantLevel => {
  switch (asker) {
    case 'node':
      return levels.first;
    case 'group':
      return 'zone';
    case 'zone':
      return 'row';
  }
};

const findNodeAtLevel = (state: CoreState, row: string, level: GrantLevel): NodeId => {
  const { zoneMembers, groupMembers, group } = getZoneLevels(state);
  const { node, zone } = state.self;
  switch (level) {
    case 'row':
      return findHolder(state, row);
    case 'zone':
      return findFirstOf(zoneMembers, node, `limit|${row}|${zone}`);
    case 'group':
      return findFirstOf(groupMembers, node, `limit|${row}|${zone}|${group}`);
  }
};

/** Returns the node and level from which this node, as `asker`, requests grants of the row's limits. */
export const findGrantHolder = (
  state: CoreState,
  row: string,
  asker: GrantRequester,
): GrantHolder => {
  const { asked } = getCachedHolder(state, row);
  const known = asked.get(asker);
  if (known !== undefined) {
    return known;
  }
  const level = levelAbove(getZoneLevels(state), asker);
  const holder = { node: findNodeAtLevel(state, row, level), level };
  asked.set(asker, holder);
  return holder;
};
