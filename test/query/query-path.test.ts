import { describe, expect, it } from 'vitest';
import type { NodeId } from '../../src/core/identifiers.js';
import type { QueryOutcome } from '../../src/core/query/query-request.js';
import { createCoreState } from '../../src/core/state.js';
import { ENSEMBLE, makeKey, makeRow, VirtualTier } from './virtual-tier.js';

const answered = (outcome: QueryOutcome | undefined) => {
  if (outcome?.type !== 'answered') {
    throw new Error(`expected an answer, got ${JSON.stringify(outcome)}`);
  }
  return outcome;
};

const firstNode = (tier: VirtualTier): NodeId => tier.nodeIds[0] as NodeId;

const isIdle = (tier: VirtualTier): boolean =>
  tier.nodeIds.every((id) => {
    const { query, replica } = tier.state(id);
    const tables = query.queries.size + query.attempts.size + replica.held.size;
    return query.inProgress + replica.attemptsInProgress + tables === 0;
  });

describe('a query', () => {
  it('is answered with every shard of the snapshot exactly once', () => {
    const tier = new VirtualTier({ zones: ['bole', 'arada'], nodesPerZone: 3 });
    const outcome = answered(tier.askAndWait(firstNode(tier))?.outcome);
    expect(outcome.shards).toBe(8);
    expect(outcome.contributed).toBe(8);
    expect(outcome.missing).toEqual([]);
    expect(outcome.items.map((item) => item.id)).toHaveLength(8);
    expect(outcome.cost).toEqual({ needed: 8, sent: 8, hedges: 0, retries: 0 });
    tier.runFor(100);
    expect(isIdle(tier)).toBe(true);
  });

  it('sends at most one message to each feeder', () => {
    const tier = new VirtualTier({ nodesPerZone: 3, services: 12 });
    const sentTo: string[] = [];
    tier.onMessage = (effect) => {
      if (effect.message.type === 'leg-batch') {
        sentTo.push(effect.to);
      }
      return 1;
    };
    tier.ask(firstNode(tier));
    expect(sentTo.length).toBeGreaterThan(0);
    expect(new Set(sentTo).size).toBe(sentTo.length);
    expect(sentTo).not.toContain(firstNode(tier));
  });

  it('with a key always goes to the same single shard', () => {
    const tier = new VirtualTier({ rows: [makeRow({ fanOut: 'key' })] });
    const first = answered(tier.askAndWait(firstNode(tier), { key: 'hall-7' })?.outcome);
    const again = answered(tier.askAndWait(firstNode(tier), { key: 'hall-7' })?.outcome);
    expect(first.shards).toBe(1);
    expect(again.items).toEqual(first.items);
    const none = tier.askAndWait(firstNode(tier))?.outcome;
    expect(none).toMatchObject({ type: 'not-run', reason: 'key-missing' });
  });

  it('ends early at the requested coverage and cancels the other legs', () => {
    const tier = new VirtualTier({ policy: { hedging: 'none' } });
    const slow = tier.replicas.filter((each) => each.status.replica.startsWith('svc-3'));
    slow.forEach((replica) => (replica.serviceMs = () => 300));
    const answer = tier.askAndWait(firstNode(tier), { coverage: 0.75 });
    const outcome = answered(answer?.outcome);
    expect(outcome.contributed).toBe(6);
    expect(outcome.missing.map((each) => each.reason)).toEqual([
      'coverage-reached',
      'coverage-reached',
    ]);
    expect(answer?.latencyMs).toBeLessThan(50);
    tier.runFor(500);
    expect(isIdle(tier)).toBe(true);
  });

  it('is answered at the deadline with its true coverage and the missing shards', () => {
    const tier = new VirtualTier({ policy: { hedging: 'none' } });
    const frozen = tier.replicas.filter((each) => each.status.replica.startsWith('svc-2'));
    frozen.forEach((replica) => (replica.mode = 'frozen'));
    const answer = tier.askAndWait(firstNode(tier), { deadlineMs: 100 });
    const outcome = answered(answer?.outcome);
    expect(answer?.latencyMs).toBeCloseTo(100, 0);
    expect(outcome.contributed).toBe(6);
    expect(outcome.missing).toEqual([
      { shard: 'svc-2#0', reason: 'timed-out' },
      { shard: 'svc-2#1', reason: 'timed-out' },
    ]);
  });

  it('never exceeds the slots of a replica over all nodes', () => {
    const tier = new VirtualTier({ nodesPerZone: 3, slots: 2, services: 1 });
    for (let round = 0; round < 20; round += 1) {
      tier.nodeIds.forEach((id) => tier.ask(id));
    }
    let most = 0;
    for (let tick = 0; tick < 400; tick += 1) {
      tier.runFor(1);
      most = Math.max(most, ...tier.replicas.map((each) => each.busy + each.waiting.length));
    }
    expect(most).toBe(2);
    expect(tier.answers.size).toBe(60);
  });
});

describe('a refusal', () => {
  it('is not-run for an unknown route and while the node is stopping', () => {
    const tier = new VirtualTier();
    const node = firstNode(tier);
    expect(tier.askAndWait(node, { route: 'none' })?.outcome).toMatchObject({
      type: 'not-run',
      reason: 'unknown-route',
    });
    const early = createCoreState({ self: tier.state(node).self, seeds: [], seed: 1 });
    expect(early.phase).toBe('starting');
    tier.deliver(node, { type: 'stop-requested', at: tier.now });
    expect(tier.askAndWait(node)?.outcome).toMatchObject({
      type: 'not-run',
      reason: 'stopping',
      retryAfterMs: 5_000,
    });
  });

  it('does not affect queries in progress when a stop of the node is requested', () => {
    const tier = new VirtualTier({ serviceMs: () => 200 });
    const call = tier.ask(firstNode(tier));
    tier.runFor(10);
    tier.nodeIds.forEach((id) => tier.deliver(id, { type: 'stop-requested', at: tier.now }));
    tier.runFor(400);
    expect(answered(tier.answers.get(call)?.outcome).contributed).toBe(8);
    tier.runFor(1_000);
    expect(tier.nodeIds.map((id) => tier.state(id).phase)).toEqual(['ended', 'ended']);
  });

  it('is not-run when every attempt was refused', () => {
    const tier = new VirtualTier();
    tier.replicas.forEach((replica) => (replica.mode = 'dead'));
    const outcome = tier.askAndWait(firstNode(tier))?.outcome;
    expect(outcome).toMatchObject({ type: 'not-run', reason: 'legs-refused' });
    expect(tier.replicas.flatMap((replica) => replica.ran)).toEqual([]);
  });
});

describe('the matching of answers', () => {
  const distortions = {
    'another request': { request: 'other' },
    'another shard': { shard: 'svc-0#9' },
    'another snapshot': { snapshot: 2 },
  };
  for (const [name, fields] of Object.entries(distortions)) {
    it(`discards and counts an answer for ${name}`, () => {
      const tier = new VirtualTier();
      const distorted = tier.replicas.filter((each) => each.status.replica.endsWith('r0'));
      distorted.forEach((replica) => {
        replica.transformOutcome = (outcome) => ({ ...outcome, ...fields }) as typeof outcome;
      });
      const outcome = answered(tier.askAndWait(firstNode(tier))?.outcome);
      const { counters } = tier.state(firstNode(tier));
      const items = outcome.items.map((item) => item.id);
      expect(new Set(items).size).toBe(outcome.contributed);
      expect(items.every((id) => id.endsWith('@1'))).toBe(true);
      expect(counters.answers_foreign + counters.answers_wrong_snapshot).toBeGreaterThan(0);
    });
  }

  it('discards and counts duplicate, late and foreign results', () => {
    const tier = new VirtualTier({ serviceMs: () => 4 });
    tier.onMessage = () => 2;
    const node = firstNode(tier);
    const outcome = answered(tier.askAndWait(node)?.outcome);
    expect(outcome.items).toHaveLength(8);
    tier.runFor(50);
    const { counters } = tier.state(node);
    expect(counters.answers_doubled + counters.answers_late).toBeGreaterThan(0);
    const stray = { attempt: 'other~1~1.1', outcome: { type: 'unknown', reason: 'timed-out' } };
    const result = { ...stray, queuedMs: 0, serviceMs: 0 } as never;
    const message = { type: 'leg-results', results: [result] } as const;
    tier.deliver(node, { type: 'link-message-arrived', at: tier.now, from: node, message });
    expect(counters.answers_foreign).toBe(1);
  });
});

describe('a request that is not safe to repeat', () => {
  const booking = makeRow({ safeToRepeat: false, fanOut: 'key', kind: 'book' });
  const ask = { kind: 'book', key: 'hall-7', idempotencyKey: makeKey(1) };

  it('runs once and is unknown when its answer is lost', () => {
    const tier = new VirtualTier({ rows: [booking] });
    tier.replicas.forEach((replica) => {
      replica.transformOutcome = () => ({ type: 'unknown', reason: 'connection-lost' });
    });
    const outcome = tier.askAndWait(firstNode(tier), ask)?.outcome;
    expect(outcome).toMatchObject({ type: 'unknown', reason: 'connection-lost' });
    expect(tier.replicas.flatMap((replica) => replica.ran)).toHaveLength(1);
  });

  it('goes to another replica if it provably did not run', () => {
    const tier = new VirtualTier({ rows: [booking], seed: 3 });
    tier.replicas
      .filter((each) => each.status.replica.endsWith('r0'))
      .forEach((replica) => (replica.mode = 'leaving'));
    for (let number = 0; number < 8; number += 1) {
      const fields = { ...ask, idempotencyKey: makeKey(number) };
      expect(tier.askAndWait(firstNode(tier), fields)?.outcome.type).toBe('answered');
    }
    expect(tier.replicas.flatMap((replica) => replica.ran)).toHaveLength(8);
  });

  it('runs once even if every message between nodes is duplicated', () => {
    const tier = new VirtualTier({ rows: [booking], nodesPerZone: 4 });
    tier.onMessage = () => 2;
    for (let number = 0; number < 8; number += 1) {
      tier.ask(firstNode(tier), { ...ask, key: `h-${number}`, idempotencyKey: makeKey(number) });
      tier.runFor(50);
    }
    expect(tier.replicas.flatMap((replica) => replica.ran)).toHaveLength(8);
  });

  it('needs an idempotency key', () => {
    const tier = new VirtualTier({ rows: [booking] });
    const outcome = tier.askAndWait(firstNode(tier), { kind: 'book', key: 'a' })?.outcome;
    expect(outcome).toMatchObject({ type: 'not-run', reason: 'key-missing' });
  });
});

describe('the crash of a feeder', () => {
  it('does not reduce the coverage of a query that is safe to repeat', () => {
    const tier = new VirtualTier({ nodesPerZone: 3, services: 12, serviceMs: () => 20 });
    const call = tier.ask(firstNode(tier));
    tier.runFor(5);
    tier.kill(tier.nodeIds[1] as NodeId);
    tier.runFor(600);
    const outcome = answered(tier.answers.get(call)?.outcome);
    expect(outcome.contributed).toBe(24);
    expect(outcome.cost.retries).toBeGreaterThan(0);
  });

  it('makes a request that is not safe to repeat end as unknown and run nowhere else', () => {
    const row = makeRow({ safeToRepeat: false, fanOut: 'key' });
    const tier = new VirtualTier({ rows: [row], serviceMs: () => 20 });
    const outcomes: string[] = [];
    const calls = Array.from({ length: 12 }, (_, number) =>
      tier.ask(firstNode(tier), { key: `h-${number}`, idempotencyKey: makeKey(number) }),
    );
    tier.runFor(5);
    tier.kill(tier.nodeIds[1] as NodeId);
    tier.runFor(600);
    calls.forEach((call) => outcomes.push(tier.answers.get(call)?.outcome.type ?? 'none'));
    expect(new Set(outcomes)).toEqual(new Set(['answered', 'unknown']));
    const ran = tier.replicas.flatMap((each) => each.ran.map((sent) => sent.context.request));
    expect(new Set(ran).size).toBe(ran.length);
  });
});

describe('request identifiers', () => {
  it('differ after a restart', () => {
    const tier = new VirtualTier();
    const { self } = tier.state(firstNode(tier));
    const later = { ...self, incarnation: self.incarnation + 1 };
    const first = createCoreState({ self, seeds: [], seed: 1 });
    const second = createCoreState({ self: later, seeds: [], seed: 1 });
    expect(first.query.identifierPrefix).not.toBe(second.query.identifierPrefix);
    expect(ENSEMBLE).toBe('ensemble');
  });
});
