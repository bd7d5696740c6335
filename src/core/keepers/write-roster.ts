/** Writes rosters to the store ahead of their periods. */
import {
  rosterObjectName,
  type Keeper,
  type KeeperRoster,
  type PartnerHome,
} from '../../catalog/keeper-roster.js';
import type { ServiceStatus } from '../../catalog/partner-index.js';
import { findOwnRank } from '../configuration/readers.js';
import { mayRequestFromStore } from '../configuration/store-watch.js';
import type { Effect } from '../effect.js';
import { identifier, type StoreRequestId, type ZoneName } from '../identifiers.js';
import { listLiveMembers, rankByRendezvous } from '../membership/view.js';
import type { CoreState } from '../state.js';
import { periodOf, wallTimeAt } from './find-roster.js';
import { findFirstMember } from './first-member.js';
import {
  MAX_ROSTER_SIZE,
  PERIODS_AHEAD,
  ROSTER_RETRY_MS,
  ROSTER_SETTLE_MS,
  ROSTER_SPACING_MS,
} from './keeper-timing.js';

const WRITER_SUBJECT = 'keeper-roster-writer';

const findWriterZone = (state: CoreState): ZoneName => {
  const first = findFirstMember(state, WRITER_SUBJECT);
  return state.membership.members.get(first)?.identity.zone ?? state.self.zone;
};

/**
 * True for one node of a view, the first reader of the writer zone. A reader is chosen because it
 * detects failures of the store. The zone is computed again only when the view has changed.
 */
const isWriter = (state: CoreState): boolean => {
  const { viewVersion } = state.membership;
  if (state.keepers.writer?.viewVersion !== viewVersion) {
    state.keepers.writer = { viewVersion, zone: findWriterZone(state) };
  }
  return state.keepers.writer.zone === state.self.zone && findOwnRank(state) === 0;
};

/** Returns the first period from `current` on without a roster; undefined when there is none. */
const findMissingPeriod = (state: CoreState, current: number): number | undefined => {
  for (let period = current; period <= current + PERIODS_AHEAD; period += 1) {
    if (!state.configuration.inForce.rosters.has(period)) {
      return period;
    }
  }
  return undefined;
};

/**
 * Whether a roster may be written: for this and the next period at once, for later ones at
 * intervals.
 */
const isWriteDue = (state: CoreState, period: number, current: number, at: number): boolean => {
  const { lastWrite, startedAt } = state.keepers;
  if (at < startedAt + ROSTER_SETTLE_MS) {
    return false;
  }
  if (lastWrite === undefined) {
    return true;
  }
  if (lastWrite.period === period) {
    return at >= lastWrite.at + ROSTER_RETRY_MS;
  }
  return period <= current + 1 || at >= lastWrite.at + ROSTER_SPACING_MS;
};

const listZones = (services: Iterable<ServiceStatus>): ZoneName[] => {
  const zones = new Set<ZoneName>();
  for (const { replicas } of services) {
    replicas.forEach(({ zone }) => zones.add(zone));
  }
  return [...zones].sort();
};

/**
 * Lists the home of each partner as this node currently sees it; all nodes use the written list.
 */
const listHomes = (state: CoreState): PartnerHome[] =>
  [...state.configuration.inForce.services]
    .map(([partner, services]) => ({ partner, zones: listZones(services.values()) }))
    .sort((a, b) => (a.partner < b.partner ? -1 : 1));

const buildRoster = (state: CoreState, period: number): KeeperRoster => {
  const ranked = rankByRendezvous(listLiveMembers(state.membership), `roster|${period}`);
  const keepers = ranked.slice(0, MAX_ROSTER_SIZE).map((identity): Keeper => ({
    node: identity.node,
    zone: identity.zone,
    incarnation: identity.incarnation,
  }));
  return { period, keepers, homes: listHomes(state) };
};

const createRoster = (state: CoreState, period: number): Effect[] => {
  const name = rosterObjectName(period);
  const held = state.configuration.objects.get(name);
  if (held?.content.type === 'keepers' && held.content.roster.period >= period) {
    return [];
  }
  return [
    {
      type: 'write-object',
      request: identifier<StoreRequestId>(`${name}#${period}`),
      name,
      expectedVersion: held?.version ?? 0,
      content: { type: 'keepers', roster: buildRoster(state, period) },
    },
  ];
};

/** Writes the next missing roster if this node is the writer. */
export const writeMissingRoster = (state: CoreState, at: number): Effect[] => {
  const current = periodOf(wallTimeAt(state, at));
  const period = findMissingPeriod(state, current);
  if (period === undefined || state.phase !== 'serving' || !isWriter(state)) {
    return [];
  }
  if (!mayRequestFromStore(state, at) || !isWriteDue(state, period, current, at)) {
    return [];
  }
  state.keepers.lastWrite = { at, period };
  return createRoster(state, period);
};
