/**
 * Exchange of member tables over links: the whole table for a joining node, else the buckets that
 * differ. It repairs what rumours missed and merges the two sides after a network partition.
 */
import type {
  MembershipPage,
  MembershipPull,
  MemberUpdate,
} from '../../protocol/membership-messages.js';
import type { NodeIdentity } from '../../protocol/node-address.js';
import type { Effect } from '../effect.js';
import type { CoreState } from '../state.js';
import { applySender, applyUpdate } from './apply-update.js';
import {
  BUSY_PULL_CHANGES,
  BUSY_PULL_INTERVAL_MS,
  PAGE_MEMBERS,
  PULL_INTERVAL_MS,
  QUIET_BEFORE_PULL_MS,
} from './bounds.js';
import { bucketOf, canFoldTo, countBucketsToSend, foldBuckets, hashTable } from './member-table.js';
import { removeRumour } from './rumour-queue.js';
import { recordEqualTable } from './rumours.js';
import { getSelfIdentity } from './self-identity.js';
import type { Member } from './member.js';
import type { MembershipState } from './state.js';

const FIRST_PAGE = -1;

const sendPull = (
  state: CoreState,
  peer: NodeIdentity,
  buckets: readonly number[],
  after: number,
): Effect => ({
  type: 'send-link',
  to: peer.node,
  address: peer.address,
  message: { type: 'membership-pull', sender: getSelfIdentity(state), buckets, after },
});

/** Lists the bucket hashes to send; empty, for the whole table, if no other member is known. */
const listBuckets = ({ membership }: CoreState): number[] => {
  const { members, buckets } = membership;
  return members.size <= 1 ? [] : [...foldBuckets(buckets, countBucketsToSend(members.size))];
};

/** Starts an exchange with `peer`, of the whole table if no other member is known. */
export const requestTable = (state: CoreState, peer: NodeIdentity, at: number): Effect => {
  state.membership.pulledAt = at;
  state.membership.changesSincePull = 0;
  state.counters.member_tables_pulled += 1;
  return sendPull(state, peer, listBuckets(state), FIRST_PAGE);
};

const isPullDue = (membership: MembershipState, at: number): boolean => {
  const sincePull = at - membership.pulledAt;
  if (membership.changesSincePull >= BUSY_PULL_CHANGES) {
    return sincePull >= BUSY_PULL_INTERVAL_MS;
  }
  return sincePull >= PULL_INTERVAL_MS && at - membership.changedAt >= QUIET_BEFORE_PULL_MS;
};

/** Starts an exchange when a peer's table differs although rumours have had time to align them. */
export const compareTables = (
  state: CoreState,
  peer: NodeIdentity,
  table: number,
  at: number,
): Effect[] => {
  const { membership } = state;
  if (table === hashTable(membership.buckets)) {
    recordEqualTable(membership);
    return [];
  }
  return membership.joined && isPullDue(membership, at) ? [requestTable(state, peer, at)] : [];
};

const listDiffering = (membership: MembershipState, pull: MembershipPull): Member[] => {
  const count = pull.buckets.length;
  const own = canFoldTo(count) ? foldBuckets(membership.buckets, count) : undefined;
  const differs = (member: Member): boolean => {
    const bucket = bucketOf(member, count);
    return own === undefined || pull.buckets[bucket] !== own[bucket];
  };
  return [...membership.members.values()]
    .filter((member) => member.ringHash > pull.after && differs(member))
    .sort((a, b) => a.ringHash - b.ringHash);
};

const selectPage = (members: readonly Member[]): Member[] => {
  const last = members[PAGE_MEMBERS - 1];
  return last === undefined
    ? [...members]
    : members.filter((member) => member.ringHash <= last.ringHash);
};

/** Answers a pull of a peer with one page. */
export const handlePull = (state: CoreState, pull: MembershipPull, at: number): Effect[] => {
  const effects = applySender(state, pull.sender, at);
  const differing = listDiffering(state.membership, pull);
  const members = selectPage(differing);
  const last = members.at(-1);
  const isLast = members.length === differing.length || last === undefined;
  const message: MembershipPage = {
    type: 'membership-page',
    sender: getSelfIdentity(state),
    updates: members.map(({ identity, state: memberState }) => ({ identity, state: memberState })),
    ...(isLast ? {} : { next: last.ringHash }),
  };
  const { node, address } = pull.sender;
  return [...effects, { type: 'send-link', to: node, address, message }];
};

/**
 * Turns a death into a suspicion: after a partition, the other side may have declared it in error.
 */
const convertDeathToSuspicion = (update: MemberUpdate): MemberUpdate =>
  update.state === 'dead' ? { identity: update.identity, state: 'suspect' } : update;

const isDisputed = (held: Member | undefined, update: MemberUpdate): boolean =>
  held?.state === 'dead' &&
  update.state === 'alive' &&
  update.identity.incarnation === held.identity.incarnation;

const applyRecord = (state: CoreState, update: MemberUpdate, at: number): Effect[] => {
  const { membership } = state;
  const { node } = update.identity;
  const held = membership.members.get(node);
  if (held === undefined && update.state === 'dead') {
    return [];
  }
  if (isDisputed(held, update)) {
    membership.disputed.add(node);
    return [];
  }
  const before = membership.changedAt;
  const hadRumour = membership.rumours.sent.has(node);
  const effects = applyUpdate(state, convertDeathToSuspicion(update), at);
  if (membership.rumours.sent.has(node) && !hadRumour) {
    suppressTableRumour(state, update, before);
  }
  return effects;
};

/**
 * Drops the rumour of a record that came with a table, as other tables have it as well; suspicions
 * and this node's own record are still spread.
 */
const suppressTableRumour = (
  state: CoreState,
  update: MemberUpdate,
  changedBefore: number,
): void => {
  const { membership } = state;
  const { node } = update.identity;
  if (node !== state.self.node && update.state !== 'dead' && update.state !== 'suspect') {
    removeRumour(membership.rumours, node);
    membership.changedAt = changedBefore;
  }
};

/** Applies one page of a peer's table and requests the next one, if any. */
export const handlePage = (state: CoreState, page: MembershipPage, at: number): Effect[] => {
  const { membership } = state;
  const effects = applySender(state, page.sender, at);
  for (const update of page.updates) {
    effects.push(...applyRecord(state, update, at));
  }
  if (page.next === undefined) {
    membership.joined = true;
    return effects;
  }
  membership.pulledAt = at;
  return [...effects, sendPull(state, page.sender, listBuckets(state), page.next)];
};
