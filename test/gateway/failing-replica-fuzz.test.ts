import { describe, expect, it } from 'vitest';
import { createRandom } from '../../src/core/random.js';
import type { SendAttempt } from '../../src/gateway/effect.js';
import type { AttemptProblem, AttemptResult } from '../../src/gateway/model/request.js';
import { routeTo, success, VirtualGateway } from './virtual-gateway.js';

/** Problems of the replica's making, each with the longest time in milliseconds after which an attempt may end so in a run. */
const PROBLEMS: Readonly<Record<Exclude<AttemptProblem, 'aborted'>, number>> = {
  'connect-refused': 10,
  'connect-timeout': 300,
  'refused-connection': 10,
  reset: 100,
  'timed-out': 300,
  'bad-answer': 100,
  'endless-answer': 100,
  'no-memory': 100,
  'unsigned-answer': 100,
  'foreign-answer': 100,
  'cut-off': 100,
};

const NOT_SENT: ReadonlySet<string> = new Set(['connect-refused', 'connect-timeout']);

const failures: readonly (readonly [string, AttemptResult, number])[] = [
  ...Object.entries(PROBLEMS).map(([name, maxMs]) => {
    const problem = name as AttemptProblem;
    const result = { type: 'failed', problem, mayHaveRun: !NOT_SENT.has(name) } as const;
    return [name, result, maxMs] as const;
  }),
  ['says that it is full', { type: 'refused', reason: 'full' }, 10],
  [
    'answers with a failure',
    {
      type: 'answered',
      answer: { status: 500, headers: [], body: Buffer.alloc(0), signature: 's' },
      closing: false,
    },
    100,
  ],
];

const REPLICAS = ['desk-bole-0', 'desk-bole-1', 'desk-bole-2'] as const;
const FAULTY = REPLICAS[2];

const SEEDS = 8;

const RUN_MS = 4_000;
const MIN_WORK_MS = 10;
const MAX_GAP_MS = 40;

/** Share of the requests that may reach the faulty replica; a third would be its share if it were sound. */
const MAX_SHARE = 0.08;

/** Plays random requests that may run once; returns how many were sent first, and how many of them to the faulty replica. */
const play = (seed: number, failure: AttemptResult, maxMs: number): readonly [number, number] => {
  const random = createRandom(seed);
  const gateway = new VirtualGateway();
  gateway.configure(1, [routeTo({ type: 'service', service: 'desk' }, { repeatable: false })]);
  gateway.listReplicas(['desk'], ['bole', 'bole', 'bole'], 0, 8);
  const ends: { at: number; attempt: SendAttempt; result: AttemptResult }[] = [];
  const workMs = MIN_WORK_MS + random.nextBelow(100);
  const faultMs = 1 + random.nextBelow(maxMs);
  let taken = 0;
  let requests = 0;
  let nextAt = 0;
  for (let at = 0; at < RUN_MS; at += 1) {
    gateway.advanceTo(at);
    for (const end of ends.filter((each) => each.at === at)) {
      gateway.end(end.attempt, end.result);
    }
    if (at >= nextAt) {
      gateway.request();
      requests += 1;
      nextAt = at + 1 + random.nextBelow(MAX_GAP_MS);
    }
    for (const attempt of gateway.sent.slice(taken)) {
      const isFaulty = attempt.replica.id === FAULTY;
      const endAt = at + (isFaulty ? faultMs : workMs + random.nextBelow(workMs));
      ends.push({ at: endAt, attempt, result: isFaulty ? failure : success('s') });
    }
    taken = gateway.sent.length;
  }
  return [requests, gateway.sent.filter(({ replica }) => replica.id === FAULTY).length];
};

describe('random requests beside a replica of three that fails all of them', () => {
  it.each(failures)('seldom reach it: %s', (_name, failure, maxMs) => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const [requests, reached] = play(seed, failure, maxMs);
      expect(reached / requests, `seed ${seed}: ${reached} of ${requests}`).toBeLessThan(MAX_SHARE);
    }
  });
});
