import { describe, expect, it } from 'vitest';
import type { Scenario } from '../../src/experiment/scenario.js';
import type { CallRecord } from '../../src/simulation/call-record.js';
import { runSimulatedScenario } from '../../src/simulation/scenario/run-scenario.js';

const CUT_MS = 10_000;
const SETTLE_MS = 1_500;
const RECOVERY_BOUND_MS = 5_000;

const SCENARIO: Scenario = {
  name: 'zone-cut-long',
  title: 'Zone bole is cut off for longer than the suspicion timeout',
  partners: ['ensemble'],
  scale: { services: 1, replicas: 1 },
  nodesPerZone: 2,
  serviceTimeFactor: 1,
  warmUpMs: 1_000,
  durationMs: CUT_MS + 8_000,
  settleMs: 0,
  load: [{ partner: 'ensemble', queriesPerSecond: 40, routes: ['season-roster'] }],
  faults: [
    { atMs: 1_000, kind: 'zone-cut', zones: ['bole'] },
    { atMs: 1_000 + CUT_MS, kind: 'zone-heal' },
  ],
};
/** Nodes start 4 s before the load; see `run-scenario.ts`. */
const CUT_AT = 4_000 + SCENARIO.warmUpMs + 1_000;

interface PageAnswer {
  readonly isCutOff: boolean;
  readonly sentAt: number;
  readonly latencyMs: number;
  readonly coverage: number;
}

const run = (): PageAnswer[] => {
  const answers: PageAnswer[] = [];
  const answered = (call: CallRecord): void => {
    const { outcome, sentAt, node } = call;
    if (outcome?.type === 'answered') {
      expect(outcome.missing).toHaveLength(outcome.shards - outcome.contributed);
      answers.push({
        isCutOff: node.startsWith('bole'),
        sentAt: sentAt - CUT_AT,
        latencyMs: (call.endedAt ?? Number.POSITIVE_INFINITY) - sentAt,
        coverage: outcome.contributed / outcome.shards,
      });
    }
  };
  const observer = { answered };
  const result = runSimulatedScenario(
    { scenario: SCENARIO, variant: 'default', seed: 1 },
    { observer },
  );
  expect(result.broken).toEqual([]);
  return answers;
};

describe('zone cut', () => {
  const answers = run();
  const during = answers.filter(({ sentAt }) => sentAt > SETTLE_MS && sentAt < CUT_MS - 600);
  const later = answers.filter(({ sentAt }) => sentAt > CUT_MS + RECOVERY_BOUND_MS);

  it('answers inside the zone with the reachable half of the shards, well before the deadline', () => {
    const inside = during.filter(({ isCutOff }) => isCutOff);
    expect(inside.length).toBeGreaterThan(30);
    expect(new Set(inside.map(({ coverage }) => coverage))).toEqual(new Set([0.5]));
    const early = inside.filter(({ latencyMs }) => latencyMs < 300);
    expect(early.length / inside.length).toBeGreaterThan(0.9);
  });

  it('does not reduce coverage in other zones once they have detected the cut', () => {
    const outside = during.filter(({ isCutOff }) => !isCutOff);
    expect(outside.length).toBeGreaterThan(100);
    expect(outside.filter(({ coverage }) => coverage < 1)).toEqual([]);
  });

  it('restores full coverage on both sides within 5 s of healing', () => {
    expect(new Set(later.map(({ isCutOff }) => isCutOff))).toEqual(new Set([true, false]));
    expect(later.filter(({ coverage }) => coverage < 1)).toEqual([]);
  });
});
