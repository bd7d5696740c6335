import { describe, expect, it } from 'vitest';
import type { NodeId } from '../../src/core/identifiers.js';
import { isUnavailable } from '../../src/core/query/replica-observation.js';
import type { Random } from '../../src/core/random.js';
import { type Answer, makeKey, makeRow, type TierOptions, VirtualTier } from './virtual-tier.js';

const sampleServiceMs = (random: Random): number => 2.5 - 1.5 * Math.log(1 - random.next());

const createTier = (options: TierOptions = {}): VirtualTier =>
  new VirtualTier({
    zones: ['bole', 'arada'],
    services: 6,
    serviceMs: sampleServiceMs,
    rows: [makeRow({ deadlineMs: 1_000 })],
    ...options,
  });

/** Sends a query every `gapMs` to each node in turn for `durationMs`; returns their answers. */
const runLoad = (tier: VirtualTier, durationMs: number, gapMs = 5): Answer[] => {
  const calls: string[] = [];
  const until = tier.now + durationMs;
  const ask = (): void => {
    calls.push(tier.ask(tier.nodeIds[calls.length % tier.nodeIds.length] as NodeId));
    if (tier.now + gapMs < until) {
      tier.after(gapMs, ask);
    }
  };
  ask();
  tier.runUntil(until + 1_500);
  return calls.map((call) => tier.answers.get(call) as Answer);
};

const isWhole = ({ outcome }: Answer): boolean =>
  outcome.type === 'answered' && outcome.contributed === outcome.shards;

const extraLoad = (answers: readonly Answer[]): number => {
  const sent = answers.reduce((sum, { outcome }) => sum + outcome.cost.sent, 0);
  const needed = answers.reduce((sum, { outcome }) => sum + outcome.cost.needed, 0);
  return sent / needed - 1;
};

const p99 = (answers: readonly Answer[]): number => {
  const sorted = answers.map((answer) => answer.latencyMs).sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length * 0.99)] as number;
};

const firstReplicas = (tier: VirtualTier) =>
  tier.replicas.filter((each) => each.status.replica.endsWith('r0'));

const countRunsOn = (tier: VirtualTier, index: number): number =>
  tier.replicas[index]?.ran.length as number;

describe('the choice of a replica', () => {
  it('avoids a slow replica and uses it again after it has recovered', () => {
    const tier = createTier();
    runLoad(tier, 1_000);
    (tier.replicas[0] as { serviceMs: unknown }).serviceMs = () => 60;
    runLoad(tier, 500);
    const before = [countRunsOn(tier, 0), countRunsOn(tier, 1)] as const;
    runLoad(tier, 2_000);
    const slow = countRunsOn(tier, 0) - before[0];
    const quick = countRunsOn(tier, 1) - before[1];
    expect(slow).toBeLessThan(quick / 10);
    (tier.replicas[0] as { serviceMs: unknown }).serviceMs = sampleServiceMs;
    runLoad(tier, 15_000, 10);
    const later = [countRunsOn(tier, 0), countRunsOn(tier, 1)] as const;
    runLoad(tier, 1_000);
    expect(countRunsOn(tier, 0) - later[0]).toBeGreaterThan((countRunsOn(tier, 1) - later[1]) / 4);
  });

  it('gives a new replica only a part of its share at first', () => {
    const tier = createTier({ services: 1 });
    const snapshots = [...(tier.replicas[1]?.status.snapshots ?? [])];
    const hide = (hidden: number[]): void => {
      const replica = tier.replicas[1] as { status: unknown };
      replica.status = { ...(replica.status as object), snapshots: hidden };
      tier.publish(tier.statusContents('ensemble' as never));
    };
    hide([]);
    runLoad(tier, 4_000, 20);
    expect(countRunsOn(tier, 1)).toBe(0);
    hide(snapshots);
    const before = countRunsOn(tier, 0);
    runLoad(tier, 500);
    expect(countRunsOn(tier, 1)).toBeGreaterThan(0);
    expect(countRunsOn(tier, 1)).toBeLessThan((countRunsOn(tier, 0) - before) / 2);
  });

  it('relies on its own observations when load reports are inverted', () => {
    const tier = createTier();
    tier.replicas.forEach((replica) => {
      replica.transformOutcome = (outcome) =>
        outcome.type === 'answered' && outcome.load
          ? { ...outcome, load: { inFlight: 5 - outcome.load.inFlight, queued: 0 } }
          : outcome;
    });
    const inverted = p99(runLoad(tier, 3_000, 4).slice(200));
    const truthful = p99(runLoad(createTier(), 3_000, 4).slice(200));
    expect(inverted).toBeLessThan(1.2 * truthful);
  });
});

describe('one failing replica of each service', () => {
  it('is avoided with full coverage when its connections are refused', () => {
    const tier = createTier();
    const healthy = runLoad(tier, 1_000);
    firstReplicas(tier).forEach((replica) => (replica.mode = 'dead'));
    const answers = runLoad(tier, 3_000);
    expect(answers.every(isWhole)).toBe(true);
    expect(p99(answers.slice(200))).toBeLessThan(1.5 * p99(healthy));
  });

  it('is hedged when it stops answering, and used again after it resumes', () => {
    const tier = createTier();
    const healthy = runLoad(tier, 1_000);
    firstReplicas(tier).forEach((replica) => (replica.mode = 'frozen'));
    const answers = runLoad(tier, 4_000, 10);
    const settled = answers.slice(200);
    expect(settled.every(isWhole)).toBe(true);
    expect(p99(settled)).toBeLessThan(1.5 * p99(healthy));
    const frozen = firstReplicas(tier).map((replica) => replica.ran.length);
    firstReplicas(tier).forEach((replica) => tier.resumeReplica(replica));
    runLoad(tier, 12_000, 20);
    firstReplicas(tier).forEach((replica, index) => {
      expect(replica.ran.length).toBeGreaterThan((frozen[index] as number) + 50);
    });
  });

  it('is used again if a majority of the replicas of a shard seems unavailable', () => {
    const tier = createTier({ services: 2, replicasPerService: 3 });
    runLoad(tier, 500);
    tier.replicas.filter((_, index) => index % 3 !== 0).forEach((r) => (r.mode = 'dead'));
    runLoad(tier, 500);
    const [observed] = tier.nodeIds.map((id) => tier.state(id).query.observations.replicas);
    const out = [...(observed?.values() ?? [])].filter((each) => isUnavailable(each, tier.now));
    expect(out.length).toBeGreaterThan(2);
    tier.replicas.forEach((replica) => (replica.mode = 'normal'));
    const before = tier.replicas.map((replica) => replica.ran.length);
    runLoad(tier, 200);
    const back = tier.replicas.filter((r, index) => r.ran.length > (before[index] as number));
    expect(back.length).toBeGreaterThan(2);
  });
});

describe('the extra-load budget', () => {
  const sampleStragglingMs = (random: Random): number =>
    sampleServiceMs(random) * (random.next() < 0.01 ? 10 : 1);

  it('allows hedges that halve the tail latency of stragglers within its share', () => {
    const options = { services: 12, serviceMs: sampleStragglingMs };
    const plain = runLoad(
      createTier({ ...options, policy: { replicaChoice: 'random', hedging: 'none' } }),
      4_000,
    );
    const hedged = runLoad(createTier(options), 4_000);
    expect(p99(hedged.slice(200))).toBeLessThan(0.5 * p99(plain.slice(200)));
    expect(extraLoad(hedged)).toBeLessThan(0.03);
    expect(extraLoad(hedged)).toBeGreaterThan(0);
  });

  it('is hardly used when the latencies have no long tail', () => {
    expect(extraLoad(runLoad(createTier(), 3_000))).toBeLessThan(0.005);
  });

  it('is not exceeded when all replicas are slow, and latency recovers at once afterwards', () => {
    const tier = createTier();
    const healthy = runLoad(tier, 1_000);
    tier.replicas.forEach((r) => (r.serviceMs = (random) => 3 * sampleServiceMs(random)));
    expect(extraLoad(runLoad(tier, 3_000))).toBeLessThan(0.03);
    tier.replicas.forEach((r) => (r.serviceMs = sampleServiceMs));
    expect(p99(runLoad(tier, 1_000))).toBeLessThan(1.5 * p99(healthy));
  });

  it('is not used for requests that are not safe to repeat', () => {
    const rows = [makeRow({ safeToRepeat: false, fanOut: 'key', deadlineMs: 400 })];
    const tier = createTier({ rows });
    firstReplicas(tier).forEach((replica) => (replica.mode = 'frozen'));
    const calls = Array.from({ length: 20 }, (_, number) =>
      tier.ask(tier.nodeIds[0] as NodeId, { key: `h-${number}`, idempotencyKey: makeKey(number) }),
    );
    tier.runFor(1_000);
    const outcomes = calls.map((call) => tier.answers.get(call)?.outcome);
    expect(outcomes.every((outcome) => outcome?.cost.sent === 1)).toBe(true);
    expect(new Set(outcomes.map((outcome) => outcome?.type))).toEqual(
      new Set(['answered', 'unknown']),
    );
  });
});

describe('a feeder whose process is paused while its links stay open', () => {
  it('does not reduce coverage', () => {
    const tier = createTier({ nodesPerZone: 3 });
    runLoad(tier, 500);
    const frozen = tier.nodeIds[1] as NodeId;
    tier.pause(frozen);
    const calls: string[] = [];
    for (let round = 0; round < 200; round += 1) {
      calls.push(tier.ask(tier.nodeIds[0] as NodeId));
      tier.runFor(10);
    }
    tier.runFor(1_500);
    const answers = calls.map((call) => tier.answers.get(call) as Answer);
    expect(answers.every(isWhole)).toBe(true);
  });
});
