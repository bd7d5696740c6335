/** Joining through the seeds, then through the machine list; both only supply addresses to ping. */
import type { Machine } from '../../catalog/store-object.js';
import type { PeerAddress } from '../../protocol/node-address.js';
import type { Effect } from '../effect.js';
import type { CoreState } from '../state.js';
import {
  MAX_LISTED_ADDRESSES,
  JOIN_RETRY_MS,
  JOIN_TIMEOUT_MS,
  PROBE_INTERVAL_MS,
  REJOIN_INTERVAL_MS,
} from './bounds.js';
import { armGossip } from './gossip.js';
import { listRing } from './ring.js';
import { pingAddress } from './probes.js';
import { queueRumour } from './rumours.js';
import { addressKey, type MembershipState } from './state.js';
import { requestTable } from './table-exchange.js';
import { armTick } from './tick.js';

const JOIN_TIMER = { purpose: 'membership-join', subject: '' } as const;
/** The rejoin interval grows in proportion to the number of members divided by this. */
const MEMBERS_PER_REJOIN_INTERVAL = 100;
/** Number of seeds pinged at once. */
const SEEDS_AT_ONCE = 5;

const listMissingSeeds = (state: CoreState): PeerAddress[] =>
  state.seeds.filter((seed) => !state.membership.addresses.has(addressKey(seed)));

const sampleSeeds = (state: CoreState, seeds: readonly PeerAddress[]): PeerAddress[] => {
  const start = seeds.length === 0 ? 0 : state.random.nextBelow(seeds.length);
  return [...seeds.slice(start), ...seeds.slice(0, start)].slice(0, SEEDS_AT_ONCE);
};

const armJoin = (at: number): Effect => ({ type: 'set-timer', key: JOIN_TIMER, at });

const isAlone = (membership: MembershipState): boolean => listRing(membership).length <= 1;

/** True while pages of a table arrive or the first one is awaited. */
const isPulling = (membership: MembershipState, at: number): boolean =>
  at - membership.pulledAt < JOIN_RETRY_MS;

/** Requests the table of a known member, if any, and pings seeds that are not members yet. */
const requestJoin = (state: CoreState, at: number): Effect[] => {
  const { membership } = state;
  const known = listRing(membership).filter((member) => member.identity.node !== state.self.node);
  const member = known[state.random.nextBelow(Math.max(1, known.length))];
  const mayPull = member !== undefined && !isPulling(membership, at);
  const pull = mayPull ? [requestTable(state, member.identity, at)] : [];
  const seeds = sampleSeeds(state, listMissingSeeds(state));
  return [...pull, ...seeds.map((seed) => pingAddress(state, seed, at))];
};

/** Starts joining when the process has started. */
export const startJoin = (state: CoreState, at: number): Effect[] => {
  const { membership } = state;
  membership.joinDeadline = at + JOIN_TIMEOUT_MS;
  membership.rejoinAt = at + REJOIN_INTERVAL_MS;
  membership.joined = listMissingSeeds(state).length === 0;
  queueRumour(membership, state.self.node);
  return [
    armTick(membership, at + state.random.nextBelow(PROBE_INTERVAL_MS)),
    armJoin(at + JOIN_RETRY_MS),
    ...requestJoin(state, at),
    ...armGossip(state, at),
  ];
};

const rejoin = (state: CoreState, at: number): Effect[] => {
  const { membership } = state;
  const scale = Math.max(1, membership.members.size / MEMBERS_PER_REJOIN_INTERVAL);
  membership.rejoinAt = at + REJOIN_INTERVAL_MS * scale;
  const seeds = sampleSeeds(state, listMissingSeeds(state));
  const machines: Effect[] = isAlone(membership) ? [{ type: 'read-machines' }] : [];
  return [
    armJoin(membership.rejoinAt),
    ...machines,
    ...seeds.map((seed) => pingAddress(state, seed, at)),
  ];
};

/** Handles the join timer: repeats the requests, or continues alone after the deadline. */
export const handleJoinTimer = (state: CoreState, at: number): Effect[] => {
  const { membership } = state;
  if (membership.joined) {
    return rejoin(state, at);
  }
  if (at >= membership.joinDeadline) {
    membership.joined = true;
    return rejoin(state, at);
  }
  const retryAt = isPulling(membership, at) ? membership.pulledAt : at;
  return [armJoin(retryAt + JOIN_RETRY_MS), ...requestJoin(state, at)];
};

/** While joining, requests the member table once a peer has answered. */
export const requestTableIfJoining = (state: CoreState, at: number): Effect[] => {
  const { membership } = state;
  const isWaiting = !membership.joined || membership.pulledAt === Number.NEGATIVE_INFINITY;
  const isDue = isWaiting && !isPulling(membership, at);
  return isDue && !isAlone(membership) ? requestJoin(state, at) : [];
};

/** Records the unknown addresses of the platform's machine list, to be pinged. */
export const handleMachinesRead = (state: CoreState, machines: readonly Machine[]): void => {
  const { membership } = state;
  membership.listedAddresses = machines
    .map(({ host, port }) => ({ host, port }))
    .filter((address) => !membership.addresses.has(addressKey(address)))
    .slice(0, MAX_LISTED_ADDRESSES);
};
