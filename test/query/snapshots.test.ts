import { describe, expect, it } from 'vitest';
import type { NodeId } from '../../src/core/identifiers.js';
import type { QueryOutcome } from '../../src/core/query/query-request.js';
import {
  type Answer,
  ENSEMBLE,
  makeKey,
  makeRow,
  VirtualTier,
  type VirtualReplica,
} from './virtual-tier.js';

const firstNode = (tier: VirtualTier): NodeId => tier.nodeIds[0] as NodeId;

const setSnapshots = (replica: VirtualReplica, snapshots: readonly number[]): void => {
  replica.status = { ...replica.status, snapshots };
};

/** Publishes the status of the replicas and the layouts of the given versions. */
const publish = (tier: VirtualTier, versions: readonly number[]): void =>
  tier.publish([tier.layoutContent(ENSEMBLE, versions), ...tier.statusContents(ENSEMBLE)]);

const snapshotsOf = (outcome: QueryOutcome): Set<string | undefined> =>
  new Set(outcome.type === 'answered' ? outcome.items.map((item) => item.id.split('@')[1]) : []);

/** Whether all items of an answer are from the snapshot that it names. */
const isUnmixed = ({ outcome }: Answer): boolean =>
  outcome.type !== 'answered' ||
  [...snapshotsOf(outcome)].every((version) => version === String(outcome.snapshot));

const coverage = ({ outcome }: Answer): number =>
  outcome.type === 'answered' ? outcome.contributed / outcome.shards : 0;

describe('the snapshot of a query', () => {
  it('is the one that most replicas hold during a roll-out, and the newest afterwards', () => {
    const tier = new VirtualTier();
    const pinned = (): unknown => {
      const outcome = tier.askAndWait(firstNode(tier))?.outcome;
      return outcome?.type === 'answered' ? outcome.snapshot : outcome;
    };
    tier.replicas.slice(0, 3).forEach((replica) => setSnapshots(replica, [1, 2]));
    publish(tier, [1, 2]);
    expect(pinned()).toBe(1);
    tier.replicas.forEach((replica) => setSnapshots(replica, [1, 2]));
    publish(tier, [1, 2]);
    expect(pinned()).toBe(2);
  });

  it('is the newest for a row with policy newest, even at reduced coverage', () => {
    const tier = new VirtualTier({ rows: [makeRow({ snapshotPolicy: 'newest' })] });
    tier.replicas.slice(0, 4).forEach((replica) => setSnapshots(replica, [1, 2]));
    publish(tier, [1, 2]);
    const outcome = tier.askAndWait(firstNode(tier))?.outcome;
    expect(outcome).toMatchObject({ type: 'answered', snapshot: 2, shards: 8, contributed: 4 });
  });

  it('becomes the newest even if a replica never loads it', () => {
    const tier = new VirtualTier();
    tier.replicas.slice(1).forEach((replica) => setSnapshots(replica, [1, 2]));
    publish(tier, [1, 2]);
    tier.askAndWait(firstNode(tier));
    tier.runFor(31_000);
    expect(tier.askAndWait(firstNode(tier))?.outcome).toMatchObject({ snapshot: 2 });
  });

  it('is replaced by one restart of the whole query when it is withdrawn', () => {
    const tier = new VirtualTier({ serviceMs: () => 20 });
    tier.replicas.forEach((replica) => setSnapshots(replica, [1, 2]));
    publish(tier, [1, 2]);
    tier.askAndWait(firstNode(tier));
    // One service withdraws snapshot 2 before the platform publishes the change.
    const call = tier.ask(firstNode(tier));
    tier.replicas.slice(2, 4).forEach((replica) => setSnapshots(replica, [1]));
    tier.runFor(400);
    const answer = tier.answers.get(call) as Answer;
    expect(answer.outcome).toMatchObject({ type: 'answered', snapshot: 1, contributed: 8 });
    expect(isUnmixed(answer)).toBe(true);
    const { counters } = tier.state(firstNode(tier));
    expect(counters.restarts_whole).toBe(1);
    expect(answer.outcome.cost.sent).toBeGreaterThan(8);
  });

  it('is kept without a restart when no other snapshot can be pinned', () => {
    const tier = new VirtualTier();
    const call = tier.ask(firstNode(tier));
    tier.replicas.slice(2, 4).forEach((replica) => setSnapshots(replica, []));
    tier.runFor(1_000);
    const outcome = tier.answers.get(call)?.outcome;
    expect(outcome).toMatchObject({ type: 'answered', snapshot: 1, contributed: 6 });
    const reasons = outcome?.type === 'answered' ? outcome.missing.map((each) => each.reason) : [];
    expect(reasons).toEqual(['snapshot-gone', 'snapshot-gone']);
  });

  it('is kept for a request that is not safe to repeat and may have run', () => {
    const rows = [makeRow({ safeToRepeat: false, kind: 'book', coverage: 1 })];
    const tier = new VirtualTier({ rows, serviceMs: () => 20 });
    tier.replicas.forEach((replica) => setSnapshots(replica, [1, 2]));
    publish(tier, [1, 2]);
    const fields = { kind: 'book', idempotencyKey: makeKey(1) };
    const call = tier.ask(firstNode(tier), fields);
    tier.replicas.slice(2, 4).forEach((replica) => setSnapshots(replica, [1]));
    tier.runFor(1_500);
    expect(tier.answers.get(call)).toBeDefined();
    const ran = tier.replicas.flatMap((each) => each.ran.map((sent) => sent.leg.shard));
    expect(new Set(ran).size).toBe(ran.length);
  });
});

describe('a roll-out whose replicas hold one snapshot at a time', () => {
  it('causes no mixed answer and reduces coverage by less than 0.1%', () => {
    const tier = new VirtualTier({ zones: ['bole', 'arada'], services: 10, serviceMs: () => 5 });
    const order = [0, 1].flatMap((copy) => tier.replicas.filter((_, i) => i % 2 === copy));
    const begin = tier.now;
    order.forEach((replica, index) => {
      const at = begin + 500 + index * 200;
      tier.at(at, () => setSnapshots(replica, [2]));
      tier.at(at + 300, () => publish(tier, [1, 2]));
    });
    const calls: string[] = [];
    const ask = (): void => {
      calls.push(tier.ask(tier.nodeIds[calls.length % 4] as NodeId));
      if (tier.now < begin + 6_000) {
        tier.after(5, ask);
      }
    };
    ask();
    tier.runUntil(begin + 8_000);
    const answers = calls.map((call) => tier.answers.get(call) as Answer);
    expect(answers.every(isUnmixed)).toBe(true);
    const mean = answers.reduce((sum, answer) => sum + coverage(answer), 0) / answers.length;
    expect(mean).toBeGreaterThan(0.999);
    const used = new Set(
      answers.map(({ outcome }) => (outcome.type === 'answered' ? outcome.snapshot : 0)),
    );
    expect(used).toEqual(new Set([1, 2]));
  });
});

describe('a back end that is leaving or shedding', () => {
  it('gets no new work from any query after it has refused one as leaving', () => {
    const tier = new VirtualTier();
    const leaving = tier.replicas[0] as VirtualReplica;
    tier.askAndWait(firstNode(tier));
    leaving.mode = 'leaving';
    for (let round = 0; round < 10; round += 1) {
      tier.askAndWait(firstNode(tier));
    }
    const { observations } = tier.state(firstNode(tier)).query;
    expect(tier.state(firstNode(tier)).membership.leavingReplicas.size).toBe(1);
    const before = observations.replicas.size;
    const refusals = tier.state(firstNode(tier)).counters.replica_failures;
    tier.askAndWait(firstNode(tier));
    expect(tier.state(firstNode(tier)).counters.replica_failures).toBe(refusals);
    expect(observations.replicas.size).toBe(before);
  });

  it('is recorded as leaving when an answer says so', () => {
    const tier = new VirtualTier();
    const leaving = tier.replicas[0] as VirtualReplica;
    leaving.transformOutcome = (outcome) =>
      outcome.type === 'answered' ? { ...outcome, leaving: true } : outcome;
    for (let round = 0; round < 10; round += 1) {
      tier.askAndWait(firstNode(tier));
    }
    expect(leaving.ran.length).toBeLessThanOrEqual(4);
  });

  it('gets no work for an increasing time when it sheds', () => {
    const tier = new VirtualTier();
    const shedding = tier.replicas[0] as VirtualReplica;
    shedding.mode = 'shedding';
    const calls: string[] = [];
    for (let round = 0; round < 200; round += 1) {
      calls.push(tier.ask(firstNode(tier)));
      tier.runFor(10);
    }
    tier.runFor(1_000);
    const { counters } = tier.state(firstNode(tier));
    expect(counters.replica_sheds).toBeGreaterThan(2);
    expect(counters.replica_sheds).toBeLessThan(40);
    const answers = calls.map((call) => tier.answers.get(call) as Answer);
    const mean = answers.reduce((sum, answer) => sum + coverage(answer), 0) / answers.length;
    expect(mean).toBeGreaterThan(0.97);
  });
});
