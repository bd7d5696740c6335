import { describe, expect, it } from 'vitest';
import type { Effect } from '../../src/core/effect.js';
import { identifier, type NodeId } from '../../src/core/identifiers.js';
import { addressKey, createMember } from '../../src/core/membership/state.js';
import { toggleMemberHash } from '../../src/core/membership/member-table.js';
import { step } from '../../src/core/reducer.js';
import { type CoreState, createCoreState } from '../../src/core/state.js';
import type {
  MembershipLinkMessage,
  MemberUpdate,
} from '../../src/protocol/membership-messages.js';
import type { NodeIdentity } from '../../src/protocol/node-address.js';

const START_MS = 1_000;

const identityOf = (index: number, incarnation = 1): NodeIdentity => ({
  node: identifier<NodeId>(`node-${index}`),
  zone: identifier('bole'),
  region: 'addis',
  address: { host: `host-${index}`, port: 7_000 },
  incarnation,
});

const createNode = (index: number): CoreState =>
  createCoreState({ self: identityOf(index), seeds: [identityOf(0).address], seed: index });

/** Adds the members from index `from` up to, but not including, `to` to a node's table. */
const addMembers = ({ membership, self }: CoreState, from: number, to: number): void => {
  for (let index = from; index < to; index += 1) {
    const member = createMember(identityOf(index), 'alive', 0);
    if (member.identity.node !== self.node) {
      membership.members.set(member.identity.node, member);
      membership.addresses.set(addressKey(member.identity.address), member.identity.node);
      toggleMemberHash(membership.buckets, member);
    }
  }
  membership.viewVersion += 1;
  membership.joined = true;
};

const listSent = (effects: readonly Effect[]): MembershipLinkMessage[] =>
  effects.flatMap((effect) =>
    effect.type === 'send-link' &&
    (effect.message.type === 'membership-pull' || effect.message.type === 'membership-page')
      ? [effect.message]
      : [],
  );

const listPulls = (effects: readonly Effect[]): MembershipLinkMessage[] =>
  listSent(effects).filter(({ type }) => type === 'membership-pull');

const alive = (identity: NodeIdentity): MemberUpdate => ({ identity, state: 'alive' });

/** Creates a node that has just started, got an answer of a seed and requested its table. */
const startJoining = (): CoreState => {
  const state = createNode(1);
  step(state, { type: 'started', at: START_MS });
  const effects = step(state, {
    type: 'datagram-arrived',
    at: START_MS + 10,
    message: {
      type: 'acknowledgement',
      subject: identityOf(0).node,
      sequence: 2,
      sender: identityOf(0),
      updates: [alive(identityOf(2)), alive(identityOf(3))],
    },
  });
  expect(listPulls(effects)).toHaveLength(1);
  return state;
};

const retryJoin = (state: CoreState, at: number): Effect[] =>
  step(state, { type: 'timer-fired', at, key: { purpose: 'membership-join', subject: '' } });

describe('joining', () => {
  it('requests no other table while pages arrive', () => {
    const state = startJoining();
    const next = step(state, {
      type: 'link-message-arrived',
      at: START_MS + 250,
      from: identityOf(0).node,
      message: {
        type: 'membership-page',
        sender: identityOf(0),
        updates: [alive(identityOf(4))],
        next: 77,
      },
    });
    expect(listPulls(next)).toMatchObject([{ after: 77 }]);
    expect(listPulls(retryJoin(state, START_MS + 300))).toEqual([]);
  });

  it('repeats the request when no page has arrived, and gets only the members it lacks', () => {
    const state = startJoining();
    expect(listPulls(retryJoin(state, START_MS + 320))).toHaveLength(1);
    const late = createNode(1);
    addMembers(late, 0, 500);
    late.membership.joined = false;
    late.membership.joinDeadline = START_MS + 1_500;
    const [again] = listPulls(retryJoin(late, START_MS + 600));
    expect(again).toMatchObject({ after: -1 });
    const other = createNode(2);
    addMembers(other, 0, 500);
    const answer = step(other, {
      type: 'link-message-arrived',
      at: START_MS + 610,
      from: late.self.node,
      message: again as MembershipLinkMessage,
    });
    expect(listSent(answer)).toMatchObject([{ type: 'membership-page', updates: [] }]);
  });
});

describe('a table exchange', () => {
  const exchange = (size: number, lacked: number) => {
    const requester = createNode(1);
    const responder = createNode(2);
    addMembers(requester, 0, size - lacked);
    addMembers(responder, 0, size);
    requester.membership.changedAt = Number.NEGATIVE_INFINITY;
    const ping = step(requester, {
      type: 'datagram-arrived',
      at: START_MS,
      message: { type: 'gossip', sender: responder.self, updates: [], table: 1 },
    });
    const [pull] = listPulls(ping);
    const answer = step(responder, {
      type: 'link-message-arrived',
      at: START_MS + 1,
      from: requester.self.node,
      message: pull as MembershipLinkMessage,
    });
    const [page] = listSent(answer);
    return { pull, page };
  };

  it('sends few members besides those that differ', () => {
    const { page } = exchange(1_000, 10);
    const updates = page?.type === 'membership-page' ? page.updates : [];
    const names = updates.map(({ identity }) => identity.node);
    for (let index = 990; index < 1_000; index += 1) {
      expect(names).toContain(`node-${index}`);
    }
    expect(updates.length).toBeLessThanOrEqual(40);
  });

  it('sends the minimum number of hashes for a small table', () => {
    const { pull } = exchange(12, 1);
    expect(pull?.type === 'membership-pull' && pull.buckets.length).toBe(64);
  });
});
