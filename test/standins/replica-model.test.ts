import { describe, expect, it } from 'vitest';
import { attemptOutcomeOf } from '../../src/standins/replica-model/attempt-outcome.js';
import type { LegRequest, ReplicaReply } from '../../src/standins/replica-model/leg-exchange.js';
import { LOAD_REPORT_LAG_MS } from '../../src/standins/replica-model/load-reporter.js';
import { QUEUE_PER_SLOT, ReplicaModel } from '../../src/standins/replica-model/replica-model.js';

const SLOTS = 2;
const LONG_DEADLINE_MS = 1_000_000;

const createModel = (seed = 1): ReplicaModel =>
  new ReplicaModel({
    service: 'desk-1',
    slots: SLOTS,
    connections: 3,
    medianServiceMs: 10,
    snapshots: [{ version: 1, shardCount: 2 }],
    seed,
  });

const leg = (attempt: string, change: Partial<LegRequest> = {}): LegRequest => ({
  request: `request-${attempt}`,
  attempt,
  partner: 'ensemble',
  route: 'roster',
  kind: 'page',
  shard: 'desk-1#1',
  snapshot: 1,
  maxItems: 10,
  safeToRepeat: true,
  payload: { nonce: `nonce-${attempt}` },
  ...change,
});

const runToEnd = (model: ReplicaModel): ReplicaReply[] => {
  const replies: ReplicaReply[] = [];
  for (let next = model.nextAt(); next !== undefined; next = model.nextAt()) {
    replies.push(...model.advance(next));
  }
  return replies;
};

const typesByTicket = (replies: readonly ReplicaReply[]): Map<number, string> =>
  new Map(
    replies.map((reply) => [reply.ticket, reply.type === 'refused' ? reply.reason : reply.type]),
  );

describe('replica model', () => {
  it('returns the shard, snapshot and nonce of the request in its answer', () => {
    const model = createModel();
    model.submit(0, 7, leg('a'), LONG_DEADLINE_MS);
    const [reply] = runToEnd(model);
    expect(reply).toMatchObject({ type: 'answered', ticket: 7, damage: 'none' });
    expect(reply?.type === 'answered' && reply.answer.items[0]?.value).toEqual({
      shard: 'desk-1#1',
      snapshot: 1,
      nonce: 'nonce-a',
    });
    expect(model.ran).toMatchObject([{ attempt: 'a', finished: true }]);
  });

  it('runs at most one request per slot and sheds requests that exceed its queue', () => {
    const model = createModel();
    const capacity = SLOTS + SLOTS * QUEUE_PER_SLOT;
    for (let ticket = 0; ticket <= capacity; ticket += 1) {
      model.submit(0, ticket, leg(`a${ticket}`), LONG_DEADLINE_MS);
    }
    expect(model.trueLoad).toEqual({ inFlight: SLOTS, queued: SLOTS * QUEUE_PER_SLOT });
    expect(typesByTicket(model.advance(0))).toEqual(new Map([[capacity, 'shedding']]));
    expect(runToEnd(model)).toHaveLength(capacity);
    expect(model.ran).toHaveLength(capacity);
  });

  it('enforces its connection limit and delays the use of new connections', () => {
    const model = createModel();
    expect(model.openConnection(5)).toEqual({ type: 'opened', usableAt: 6 });
    model.openConnection(5);
    model.openConnection(5);
    expect(model.openConnection(5)).toEqual({ type: 'refused', reason: 'connection-limit' });
    model.closeConnection();
    expect(model.openConnection(5).type).toBe('opened');
  });

  it('refuses requests whose deadline passes in the queue and cancels running ones', () => {
    const model = createModel();
    model.setFaults(0, { slowFactor: 1_000 });
    for (let ticket = 0; ticket < 4; ticket += 1) {
      model.submit(0, ticket, leg(`a${ticket}`), ticket < 3 ? 50 : 20);
    }
    const replies = model.advance(50);
    expect(typesByTicket(replies).get(3)).toBe('deadline-passed');
    expect(typesByTicket(replies).get(0)).toBe('cancelled');
    expect(model.ran.map(({ attempt }) => attempt)).not.toContain('a3');
    expect(model.ran.every(({ finished }) => !finished)).toBe(true);
  });

  it('releases the slot of a cancelled request immediately', () => {
    const model = createModel();
    model.setFaults(0, { slowFactor: 1_000 });
    for (let ticket = 0; ticket < 3; ticket += 1) {
      model.submit(0, ticket, leg(`a${ticket}`), LONG_DEADLINE_MS);
    }
    model.cancel(1, ['a0']);
    expect(typesByTicket(model.advance(1))).toEqual(new Map([[0, 'cancelled']]));
    expect(model.trueLoad).toEqual({ inFlight: SLOTS, queued: 0 });
  });

  it('refuses requests that it cannot serve without running them', () => {
    const model = createModel();
    model.submit(0, 0, leg('a', { snapshot: 2 }), LONG_DEADLINE_MS);
    model.submit(0, 1, leg('b', { shard: 'desk-1#2' }), LONG_DEADLINE_MS);
    model.submit(0, 2, leg('c', { shard: 'desk-10#0' }), LONG_DEADLINE_MS);
    model.setFaults(0, { shedding: true });
    model.submit(0, 3, leg('d'), LONG_DEADLINE_MS);
    model.setFaults(0, { lifecycle: 'leaving' });
    model.submit(0, 4, leg('e'), LONG_DEADLINE_MS);
    expect([...typesByTicket(model.advance(0)).values()]).toEqual([
      'snapshot-gone',
      'unknown-shard',
      'unknown-shard',
      'shedding',
      'leaving',
    ]);
    expect(model.ran).toEqual([]);
  });

  it('finishes running requests while leaving and announces that it is leaving', () => {
    const model = createModel();
    model.submit(0, 0, leg('a'), LONG_DEADLINE_MS);
    model.setFaults(0, { lifecycle: 'leaving' });
    expect(runToEnd(model)).toMatchObject([{ type: 'answered', leaving: true }]);
  });

  it('stops processing while frozen and resumes afterwards', () => {
    const model = createModel();
    model.submit(0, 0, leg('a'), LONG_DEADLINE_MS);
    model.setFaults(0, { frozen: true });
    model.submit(1, 1, leg('b'), LONG_DEADLINE_MS);
    expect(model.advance(500)).toEqual([]);
    expect(model.nextAt()).toBeUndefined();
    model.setFaults(500, { frozen: false });
    expect(typesByTicket(model.advance(500))).toEqual(new Map([[0, 'answered']]));
    expect(typesByTicket(runToEnd(model))).toEqual(new Map([[1, 'answered']]));
  });

  it('loses running requests when it is dead', () => {
    const model = createModel();
    model.submit(0, 0, leg('a'), LONG_DEADLINE_MS);
    model.setFaults(1, { dead: true });
    expect(typesByTicket(model.advance(1))).toEqual(new Map([[0, 'connection-lost']]));
    expect(model.openConnection(1)).toEqual({ type: 'refused', reason: 'dead' });
    expect(model.ran).toMatchObject([{ finished: false }]);
  });

  it('has longer service times while it is cold', () => {
    const timeOfFirst = (coldMs: number): number => {
      const model = createModel();
      model.setFaults(0, { coldMs });
      model.submit(0, 0, leg('a'), LONG_DEADLINE_MS);
      return model.nextAt() ?? 0;
    };
    expect(timeOfFirst(10_000)).toBeCloseTo(5 * timeOfFirst(0));
  });

  it('slows the configured share of requests', () => {
    const slowCount = Array.from({ length: 1_000 }, (_, seed) => {
      const model = createModel(seed);
      model.setFaults(0, { slowFactor: 1_000, slowShare: 0.1 });
      model.submit(0, 0, leg('a'), LONG_DEADLINE_MS);
      return (model.nextAt() ?? 0) > 1_000;
    }).filter(Boolean).length;
    expect(slowCount).toBeGreaterThan(60);
    expect(slowCount).toBeLessThan(140);
  });

  it('returns wrong, truncated or oversized answers according to its faults', () => {
    const model = createModel();
    model.setFaults(0, { wrongAnswerShare: 1 });
    model.submit(0, 0, leg('a'), LONG_DEADLINE_MS);
    const [wrong] = runToEnd(model);
    expect(wrong?.type === 'answered' && wrong.answer.request).not.toBe('request-a');
    model.setFaults(1_000, { wrongAnswerShare: 0, truncatedShare: 1 });
    model.submit(1_000, 1, leg('b'), LONG_DEADLINE_MS);
    const [truncated] = runToEnd(model);
    expect(truncated && attemptOutcomeOf(truncated)).toEqual({
      type: 'unknown',
      reason: 'bad-answer',
    });
    model.setFaults(2_000, { truncatedShare: 0, oversizedShare: 1 });
    model.submit(2_000, 2, leg('c'), LONG_DEADLINE_MS);
    expect(runToEnd(model)).toMatchObject([{ damage: 'oversized' }]);
  });

  it('reports its load with a delay, or wrongly according to its faults', () => {
    const model = createModel();
    model.setFaults(0, { slowFactor: 1_000_000 });
    model.submit(0, 0, leg('a'), LONG_DEADLINE_MS);
    expect(model.reportedLoad).toEqual({ inFlight: 0, queued: 0 });
    model.submit(LOAD_REPORT_LAG_MS, 1, leg('b'), LONG_DEADLINE_MS);
    expect(model.reportedLoad).toEqual({ inFlight: 1, queued: 0 });
    model.setFaults(LOAD_REPORT_LAG_MS, { loadReport: 'inverted' });
    expect(model.reportedLoad).toEqual({ inFlight: 1, queued: 2 });
    model.setFaults(LOAD_REPORT_LAG_MS, { loadReport: 'frozen' });
    expect(model.reportedLoad).toEqual({ inFlight: 0, queued: 0 });
  });

  it('gives the same replies for the same seed', () => {
    const run = (): ReplicaReply[] => {
      const model = createModel(42);
      for (let ticket = 0; ticket < 8; ticket += 1) {
        model.submit(ticket, ticket, leg(`a${ticket}`), LONG_DEADLINE_MS);
      }
      return runToEnd(model);
    };
    expect(run()).toEqual(run());
  });
});
