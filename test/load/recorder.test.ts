import { describe, expect, it } from 'vitest';
import type { WorkloadItem } from '../../src/deployments/deployment.js';
import { ENSEMBLE } from '../../src/deployments/ensemble.js';
import { Arrivals } from '../../src/load/arrivals.js';
import { auditRecords } from '../../src/load/audit-records.js';
import type { Call, CallAnswer, EndedCall } from '../../src/load/call-outcome.js';
import { checkAnswer } from '../../src/load/check-answer.js';
import { RunRecorder } from '../../src/load/run-recorder.js';
import { AGGREGATE_ITEM_ID } from '../../src/standins/replica-model/answer-content.js';

const itemOf = (route: string): WorkloadItem => {
  const item = ENSEMBLE.workload.find(({ row }) => row.route === route);
  if (item === undefined) {
    throw new Error(route);
  }
  return item;
};

const ROSTER: Call = { item: itemOf('season-roster'), nonce: 'n1', sentAtMs: 0 };
const PAYROLL: Call = { item: itemOf('payroll'), nonce: 'n1', sentAtMs: 0 };

const item = (shard: string, change: { nonce?: string; snapshot?: number } = {}) => ({
  id: `${shard}/0`,
  score: 1,
  value: { shard, snapshot: 1, nonce: 'n1', ...change },
});

const answer = (change: Partial<CallAnswer> = {}): CallAnswer => ({
  type: 'answered',
  request: 'r1',
  snapshot: 1,
  coverage: 0.5,
  shards: 2,
  contributed: 1,
  missing: [{ shard: 'b', reason: 'timed-out' }],
  items: [item('a')],
  cost: { needed: 2, sent: 3, hedges: 1, retries: 0 },
  ...change,
});

const promisesBroken = (call: Call, change: Partial<CallAnswer>): string[] => [
  ...new Set(checkAnswer(call, answer(change)).map(({ promise }) => promise)),
];

describe('checkAnswer', () => {
  it('reports no violation for a correct answer', () => {
    expect(checkAnswer(ROSTER, answer())).toEqual([]);
  });

  it('reports items of another request and duplicate items', () => {
    expect(promisesBroken(ROSTER, { items: [item('a', { nonce: 'n2' })] })).toEqual([
      'own-answer-only',
    ]);
    expect(promisesBroken(ROSTER, { items: [item('a'), item('a')] })).toEqual(['own-answer-only']);
  });

  it('reports items of another snapshot', () => {
    expect(promisesBroken(ROSTER, { items: [item('a', { snapshot: 2 })] })).toEqual([
      'one-snapshot',
    ]);
  });

  it('reports incorrect coverage', () => {
    const wrong: Partial<CallAnswer>[] = [
      { coverage: 1 },
      { coverage: 1, contributed: 2 },
      { coverage: 1, contributed: 2, missing: [] },
      { items: [item('b')] },
      { items: [] },
    ];
    for (const change of wrong) {
      expect(promisesBroken(ROSTER, change)).toEqual(['true-coverage']);
    }
  });

  it('compares a sum with the number of contributing shards', () => {
    const total = (score: number) => [{ ...item('a'), id: AGGREGATE_ITEM_ID, score }];
    expect(promisesBroken(PAYROLL, { items: total(1) })).toEqual([]);
    expect(promisesBroken(PAYROLL, { items: total(2) })).toEqual(['true-coverage']);
  });
});

describe('auditRecords', () => {
  const ran = (request: string, idempotencyKey?: string) => ({
    request,
    attempt: `${request}-1`,
    shard: 'a',
    safeToRepeat: idempotencyKey === undefined,
    finished: true,
    ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
  });

  it('finds requests that ran although they were answered not-run', () => {
    const calls = [
      { request: 'r1', notRun: true },
      { request: 'r2', notRun: true },
      { request: 'r3', notRun: false },
    ];
    expect(auditRecords(calls, [ran('r2'), ran('r3')])).toMatchObject([
      { promise: 'not-run-did-not-run', subject: 'r2' },
    ]);
  });

  it('finds requests not safe to repeat that ran twice', () => {
    const records = [ran('r1', 'k1'), ran('r2', 'k1'), ran('r3', 'k2'), ran('r4'), ran('r4')];
    expect(auditRecords([], records)).toMatchObject([{ promise: 'at-most-once', subject: 'k1' }]);
  });
});

describe('RunRecorder', () => {
  const ended = (sentAtMs: number, latencyMs: number): EndedCall => ({
    call: { ...ROSTER, sentAtMs },
    outcome: answer(),
    latencyMs,
  });

  it('aggregates each kind, leaving out calls before settleMs', () => {
    const recorder = new RunRecorder(100);
    recorder.record(ended(0, 900));
    recorder.record(ended(100, 10));
    recorder.record(ended(200, 20));
    recorder.record({
      call: { ...ROSTER, sentAtMs: 300 },
      outcome: { type: 'not-run', reason: 'overloaded' },
      latencyMs: 1,
    });
    const [kind] = recorder.result().kinds;
    expect(kind).toMatchObject({
      calls: 3,
      answered: 2,
      notRun: 1,
      contributed: 2,
      coverageMean: 0.5,
      wholeShare: 0,
      extraLoad: 0.5,
      reasons: { overloaded: 1 },
    });
    expect(kind?.maxMs).toBeCloseTo(20, 1);
    expect(recorder.calls).toBe(4);
  });

  it('counts violations of calls before settleMs too', () => {
    const recorder = new RunRecorder(100);
    recorder.record({ ...ended(0, 1), outcome: answer({ coverage: 1 }) });
    expect(recorder.result()).toMatchObject({
      violationCount: 1,
      violations: [{ promise: 'true-coverage', subject: 'r1' }],
    });
  });
});

describe('Arrivals', () => {
  it('repeats the same calls for the same seed, at the requested rate', () => {
    const draw = (seed: number) => {
      const arrivals = new Arrivals({
        deployment: ENSEMBLE,
        seed,
        source: 'test',
        wallClock: () => 1_700_000_000_000,
      });
      return Array.from({ length: 2_000 }, () => ({
        gap: arrivals.nextGapMs(100),
        call: arrivals.nextCall(0),
      }));
    };
    expect(draw(3)).toEqual(draw(3));
    const drawn = draw(3);
    const mean = drawn.reduce((sum, { gap }) => sum + gap, 0) / drawn.length;
    expect(mean).toBeGreaterThan(9);
    expect(mean).toBeLessThan(11);
    const bookings = drawn.filter(({ call }) => call.item.row.route === 'booking');
    expect(bookings.length / drawn.length).toBeCloseTo(4 / 23, 1);
    expect(bookings.every(({ call }) => call.key !== undefined)).toBe(true);
    expect(new Set(bookings.map(({ call }) => call.idempotencyKey)).size).toBe(bookings.length);
  });
});
