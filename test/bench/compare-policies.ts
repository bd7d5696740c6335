/**
 * Compares query policies in virtual time under faults. Not a test: build with
 * `npx tsc -p tsconfig.json --noEmit false --outDir out/bench` and run
 * `node out/bench/test/bench/compare-policies.js [scenario...]`.
 */
import type { NodeId } from '../../src/core/identifiers.js';
import type { QueryPolicy } from '../../src/core/query/query-policy.js';
import type { Random } from '../../src/core/random.js';
import { ENSEMBLE, makeRow, TAWE, type TierOptions, VirtualTier } from '../query/virtual-tier.js';

const POLICIES: Record<string, Partial<QueryPolicy>> = {
  random: { replicaChoice: 'random', hedging: 'none', feederOrder: 'first-come' },
  fixed: { replicaChoice: 'random', hedging: 'fixed', feederOrder: 'first-come' },
  good: {},
};

const SEEDS = (process.env['SEEDS'] ?? '1,2,3').split(',').map(Number);
const RUN_MS = Number(process.env['RUN_MS'] ?? 3_000);
const UTILISATION = Number(process.env['UTILISATION'] ?? 0.4);

/** Draws a service time in milliseconds: 2.5 plus an exponential tail with mean 1.5, about 4 in total. */
const drawServiceTime = (random: Random): number => 2.5 - 1.5 * Math.log(1 - random.next());

interface Scenario {
  readonly options?: TierOptions;
  readonly begin?: (tier: VirtualTier, random: Random) => void;
}

const SCENARIOS: Record<string, Scenario> = {
  healthy: {},
  straggler: {
    options: {
      serviceMs: (random) => drawServiceTime(random) * (random.next() < 0.01 ? 10 : 1),
    },
  },
  slowReplica: {
    begin: (tier) => {
      (tier.replicas[0] as { serviceMs: unknown }).serviceMs = (random: Random) =>
        8 * drawServiceTime(random);
    },
  },
  dead: {
    begin: (tier) => {
      tier.replicas.filter((_, index) => index % 2 === 0).forEach((r) => (r.mode = 'dead'));
    },
  },
  frozen: {
    begin: (tier) => {
      tier.replicas.filter((_, index) => index % 2 === 0).forEach((r) => (r.mode = 'frozen'));
    },
  },
  allSlow: {
    begin: (tier) => {
      tier.after(1_000, () =>
        tier.replicas.forEach((r) => (r.serviceMs = (random) => 2 * drawServiceTime(random))),
      );
      tier.after(3_500, () => tier.replicas.forEach((r) => (r.serviceMs = drawServiceTime)));
    },
  },
  aloneHalf: {},
  flood: {
    begin: (tier) => {
      const perMs = (5 * (tier.replicas.length * SLOTS)) / 5.1 / (SERVICES * SHARDS_PER_SERVICE);
      const end = tier.now + RUN_MS;
      const sendFloodQuery = (): void => {
        const ids = tier.nodeIds;
        tier.ask(ids[tier.random.nextBelow(ids.length)] as NodeId, { partner: TAWE });
        const gap = -Math.log(1 - tier.random.next()) / perMs;
        if (tier.now + gap < end) {
          tier.after(gap, sendFloodQuery);
        }
      };
      sendFloodQuery();
    },
  },
  killedFeeder: {
    begin: (tier) => {
      tier.after(1_000, () => tier.kill(tier.nodeIds[0] as NodeId));
    },
  },
  frozenFeeder: {
    begin: (tier) => {
      tier.after(1_000, () => tier.pause(tier.nodeIds[0] as NodeId));
    },
  },
};

const quantile = (values: number[], share: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN;
};

const median = (values: number[]): number => quantile(values, 0.5);

interface Figures {
  p50: number;
  p99: number;
  p999: number;
  /** Share of queries with coverage 1, without the first 2 s after the fault. */
  whole: number;
  extra: number;
  /** Number of queries answered not-run. */
  refused: number;
  /** Legs of whole answers of both partners, as a share of the capacity of all slots. */
  goodput: number;
  lost: number;
}

const SERVICES = 20;
const SLOTS = 5;
const SHARDS_PER_SERVICE = 2;

const runOnce = (scenario: Scenario, policy: Partial<QueryPolicy>, seed: number): Figures => {
  const tier = new VirtualTier({
    zones: ['bole', 'arada', 'kirkos', 'yeka'],
    nodesPerZone: Number(process.env['NODES_PER_ZONE'] ?? 2),
    services: SERVICES,
    shardsPerService: SHARDS_PER_SERVICE,
    slots: SLOTS,
    serviceMs: drawServiceTime,
    rows: [makeRow({ deadlineMs: 1_000 }), makeRow({ partner: TAWE, deadlineMs: 1_000 })],
    seed,
    shares: [
      { partner: ENSEMBLE, share: 0.5 },
      { partner: TAWE, share: 0.5 },
    ],
    ...scenario.options,
    policy,
  });
  const capacity = (tier.replicas.length * SLOTS) / 4;
  const meanGapMs = (SERVICES * SHARDS_PER_SERVICE) / (capacity * UTILISATION);
  const warmUntil = tier.now + 1_000;
  const begin = warmUntil;
  tier.at(begin, () => scenario.begin?.(tier, tier.random));
  const end = begin + RUN_MS;
  const sendQuery = (): void => {
    const ids = tier.nodeIds.filter((id) => tier.isUp(id));
    tier.ask(ids[tier.random.nextBelow(ids.length)] as NodeId);
    const gap = -Math.log(1 - tier.random.next()) * meanGapMs;
    if (tier.now + gap < end) {
      tier.after(gap, sendQuery);
    }
  };
  sendQuery();
  tier.runUntil(end + 2_000);
  const all = [...tier.answers.entries()].filter(([, a]) => a.askedAt >= begin);
  const answers = all.filter(([call]) => !tier.isOf(call, TAWE)).map(([, a]) => a);
  const done = all.filter(
    ([, a]) => a.outcome.type === 'answered' && a.outcome.contributed === a.outcome.shards,
  );
  const wholeLegs = done.length * SERVICES * SHARDS_PER_SERVICE;
  const goodput = wholeLegs / (((tier.replicas.length * SLOTS) / 5.1) * RUN_MS);
  const settled = answers.filter((a) => a.askedAt >= begin + 2_000);
  const whole = settled.filter(
    ({ outcome }) => outcome.type === 'answered' && outcome.contributed === outcome.shards,
  );
  let needed = 0;
  let sent = 0;
  for (const { outcome } of answers) {
    needed += outcome.cost.needed;
    sent += outcome.cost.sent;
  }
  const latencies = answers.filter((a) => a.outcome.type === 'answered').map((a) => a.latencyMs);
  return {
    p50: median(latencies),
    p99: quantile(latencies, 0.99),
    p999: quantile(latencies, 0.999),
    whole: whole.length / settled.length,
    extra: sent / needed - 1,
    refused: answers.filter((a) => a.outcome.type === 'not-run').length,
    goodput,
    lost: tier.asked - tier.answers.size,
  };
};

const pick = (runs: Figures[], field: keyof Figures): number =>
  median(runs.map((run) => run[field]));

const asked = process.argv.slice(2);
const names = asked.length > 0 ? asked : Object.keys(SCENARIOS);
const policies = (process.env['POLICIES'] ?? Object.keys(POLICIES).join(',')).split(',');
for (const name of names) {
  for (const policyName of policies) {
    const policy = { ...POLICIES[policyName], ...JSON.parse(process.env['EXTRA'] ?? '{}') };
    const runs = SEEDS.map((seed) => runOnce(SCENARIOS[name] as Scenario, policy, seed));
    const cells = (
      ['p50', 'p99', 'p999', 'whole', 'extra', 'refused', 'goodput', 'lost'] as const
    ).map((field) => `${field} ${pick(runs, field).toFixed(field === 'whole' ? 5 : 3)}`);
    console.log(`${name.padEnd(13)} ${policyName.padEnd(8)} ${cells.join('  ')}`);
  }
}
