/**
 * Random runs of several gateways over replicas that crash, with these invariants:
 * - Connected gateways send a poison request to replicas for at most three more caller requests later than 4 s after it
 * has crashed its third replica.
 * - A harmless request is refused as a poison request only while no replica has answered it since the crashes. Once
 * faults are over, all harmless requests are served.
 * - Every caller is answered within its time budget.
 * - Gateways keep the histories of a bounded number of requests, and agree on the blocked ones once faults are over.
 *
 * In half of the runs, callers also leave or have small time budgets, replicas crash after the attempt has ended, fail
 * or refuse requests, and gateways are suspended.
 *
 * `CROSSROAD_FUZZ_RUNS` sets the number of runs, and `CROSSROAD_FUZZ_SEED` the first seed.
 */
import { describe, expect, it } from 'vitest';
import { createRandom } from '../../src/core/random.js';
import type { Route } from '../../src/gateway/model/route.js';
import {
  type SentRequest,
  type CallerRequest,
  type CrashNode,
  CrashNetwork,
  lateRequests,
} from './crash-network.js';
import { Draw } from './draw.js';
import { gatherOf, routeTo } from './virtual-gateway.js';

const RUNS = Number(process.env['CROSSROAD_FUZZ_RUNS'] ?? 12);
const FIRST_SEED = Number(process.env['CROSSROAD_FUZZ_SEED'] ?? 1);

const PROPAGATION_MS = 4_000;
const MAX_LATE_REQUESTS = 3;

/**
 * Faults end at the first time. The final state is checked at the second, when blocks of harmless requests would be due
 * for a trial.
 */
const FAULTS_END_MS = 25_000;
const SETTLED_MS = 35_000;

/** Longest time until a crashed replica has restarted, in milliseconds. */
const REPLICA_DOWN_MS = 3_700;

/** Time budget of a caller, and how much longer an answer may take in the test network, in milliseconds. */
const BUDGET_MS = 1_500;
const ANSWER_SLACK_MS = 50;

const routesOf = (shards: number): readonly Route[] => [
  routeTo(gatherOf(shards, 0.75), { pathPrefix: '/all/', objectiveMs: 116 }),
  routeTo(
    { type: 'service', service: 'one' },
    { name: 'one', pathPrefix: '/one/', objectiveMs: 400 },
  ),
  routeTo(
    { type: 'service', service: 'once' },
    { name: 'once', pathPrefix: '/once/', repeatable: false },
  ),
];

const PATHS = ['/all/x', '/one/x', '/once/x'] as const;

/** Whether a run has unawaited runs at replicas. */
type Scenario = 'callers-wait' | 'callers-leave';

/** Draws how callers of a request wait: for the answer, or only for a shorter time. */
const drawCallerLimits = (draw: Draw, scenario: Scenario): Partial<CallerRequest> => {
  if (scenario === 'callers-wait') {
    return {};
  }
  switch (draw.below(3)) {
    case 0:
      return { leavesAfterMs: draw.between(5, 200) };
    case 1:
      return { budgetMs: draw.between(30, 200) };
    default:
      return {};
  }
};

const scheduleCallers = (
  network: CrashNetwork,
  draw: Draw,
  lethal: readonly string[],
  scenario: Scenario,
): void => {
  for (const fingerprint of lethal) {
    network.lethal.add(fingerprint);
    const path = draw.of(PATHS);
    const everyMs = draw.between(80, 5_000);
    const from = draw.between(0, 5_000);
    const request = { fingerprint, path, budgetMs: BUDGET_MS, ...drawCallerLimits(draw, scenario) };
    for (let at = from; at < SETTLED_MS; at += everyMs * draw.between(0.5, 1.5)) {
      const retries = draw.below(3);
      network.at(at, () => network.sendRequest({ ...request, retries }));
    }
  }
  const popular = 1 + draw.below(30);
  for (let at = 0; at < SETTLED_MS + 3_000; at += draw.between(20, 120)) {
    const path = draw.of(PATHS);
    const fingerprint = `${path}-${draw.below(popular)}`;
    const leavesAfterMs =
      scenario === 'callers-leave' && draw.isTrue(0.3) ? draw.between(5, 100) : undefined;
    const limits = leavesAfterMs === undefined ? {} : { leavesAfterMs };
    network.at(at, () =>
      network.sendRequest({ fingerprint, path, budgetMs: BUDGET_MS, ...limits }),
    );
  }
};

/**
 * Ranges of the time from the start of a lethal run to the crash, in milliseconds: within normal work, soon after, or
 * late.
 */
const CRASH_DELAYS_MS = [
  [10, 40],
  [50, 150],
  [150, 3_000],
] as const;

/** Schedules crashes after the attempt has ended, failures and refusals of replicas, and suspensions of gateways. */
const scheduleUnawaitedRuns = (network: CrashNetwork, draw: Draw): void => {
  const [minMs, maxMs] = draw.of(CRASH_DELAYS_MS);
  network.lethalMs = draw.between(minMs, maxMs);
  const failing = draw.of(['', '/0', '/0']);
  const refusing = draw.of([0, 0, 0.5]);
  network.insteadOfRunning = (place, fingerprint) => {
    if (failing !== '' && place.endsWith(failing) && network.lethal.has(fingerprint)) {
      return 'fails';
    }
    return network.now < FAULTS_END_MS && draw.isTrue(refusing) ? 'refuses' : undefined;
  };
  for (let count = draw.below(4); count > 0; count -= 1) {
    const node = draw.of(network.nodes);
    const forMs = draw.between(200, 5_000);
    const at = draw.between(500, FAULTS_END_MS - forMs);
    network.at(at, () => node.alive && network.suspend(node, forMs));
  }
};

const scheduleCut = (network: CrashNetwork, draw: Draw, at: number, forMs: number): void => {
  const node = draw.of(network.nodes);
  const others = network.nodes.filter((each) => each !== node && draw.isTrue(0.7));
  const setCut = (isCut: boolean) => (): void =>
    others.forEach((other) => network.setCut(node, other, isCut));
  network.at(at, setCut(true));
  network.at(Math.min(FAULTS_END_MS, at + forMs), setCut(false));
};

const scheduleRestart = (
  network: CrashNetwork,
  node: CrashNode,
  at: number,
  downMs: number,
): void => {
  network.at(at, () => network.kill(node));
  network.at(Math.min(FAULTS_END_MS, at + downMs), () => network.start(node));
};

/** Schedules restarts of gateways, cuts of links, and crashes of few or many replicas at once for other reasons. */
const scheduleFaults = (network: CrashNetwork, draw: Draw): void => {
  const faults = draw.below(8);
  for (let count = 0; count < faults; count += 1) {
    const at = draw.between(500, FAULTS_END_MS - 1_000);
    switch (draw.below(3)) {
      case 0:
        scheduleRestart(network, draw.of(network.nodes), at, draw.between(100, 4_000));
        break;
      case 1:
        scheduleCut(network, draw, at, draw.between(500, 8_000));
        break;
      default: {
        const share = draw.of([0.1, 0.5, 1]);
        network.at(at, () => network.crash(() => draw.isTrue(share)));
      }
    }
  }
};

const hasLeft = ({ leavesAfterMs, responses }: SentRequest): boolean =>
  leavesAfterMs !== undefined && responses.length === 0;

const isServed = ({ responses }: SentRequest): boolean => {
  const last = responses.at(-1);
  return last !== undefined && last.type !== 'refusal';
};

const blockedAt = ({ state }: CrashNode, at: number): readonly string[] =>
  [...state.crashes.histories.all().keys()]
    .filter((fingerprint) => state.crashes.histories.verdict(fingerprint, at) === 'blocked')
    .sort();

const wasBlocked = ({ responses }: SentRequest): boolean =>
  responses.some((each) => each.type === 'refusal' && each.reason === 'crashes-replicas');

/**
 * Whether replicas are down because of a lethal request that is not blocked yet: one that arrives every few seconds,
 * and first near the end of the faults, still crashes replicas in three rounds, while a service has as few as two
 * replicas.
 */
const hasReplicasDown = ({ crashes }: CrashNetwork, requestedAt: number): boolean =>
  crashes.some(({ at }) => at > requestedAt - REPLICA_DOWN_MS && at < requestedAt + BUDGET_MS);

/** The violated invariants of one run; empty where all hold. */
const problemsOf = (seed: number, scenario: Scenario): readonly string[] => {
  const draw = new Draw(createRandom(seed));
  const network = new CrashNetwork(seed);
  const gateways = draw.of([1, 3, 8, 20]);
  const copies = 2 + draw.below(3);
  network.build(gateways, routesOf(3 + draw.below(10)), copies, gateways > 16 ? 30 : 32);
  const lethal = Array.from({ length: draw.below(4) }, (_, index) => `lethal-${index}`);
  scheduleCallers(network, draw, lethal, scenario);
  scheduleFaults(network, draw);
  if (scenario === 'callers-leave') {
    scheduleUnawaitedRuns(network, draw);
  }
  network.advance(SETTLED_MS + 6_000);
  const late = lethal
    .map((each) => ({ each, requests: lateRequests(network, each, PROPAGATION_MS) }))
    .filter(({ requests }) => requests > MAX_LATE_REQUESTS)
    .map(({ each, requests }) => `${each} reached replicas in ${requests} late requests`);
  const others = network.asked.filter(({ fingerprint }) => !network.lethal.has(fingerprint));
  const refused = others.filter(wasBlocked).map(({ fingerprint }) => `${fingerprint} was blocked`);
  const unserved = others
    .filter(
      (asked) => asked.requestedAt > FAULTS_END_MS + 6_000 && !isServed(asked) && !hasLeft(asked),
    )
    .filter(({ requestedAt }) => !hasReplicasDown(network, requestedAt))
    .map(
      ({ fingerprint, requestedAt }) =>
        `${fingerprint} sent at ${Math.round(requestedAt)} was not served`,
    );
  const unanswered = network.asked
    .filter((asked) => asked.responses.length === 0 && !asked.isLost && !hasLeft(asked))
    .map(
      ({ fingerprint, requestedAt }) =>
        `${fingerprint} sent at ${Math.round(requestedAt)} had no answer`,
    );
  const sizes = network.nodes.filter(({ state }) => state.crashes.histories.size > 256);
  const views = new Set(network.nodes.map((node) => blockedAt(node, network.clockOf(node)).join()));
  return [
    ...late,
    ...new Set(refused),
    ...unserved,
    ...unanswered,
    ...(network.slowestAnswerMs > BUDGET_MS + ANSWER_SLACK_MS
      ? [`an answer took ${network.slowestAnswerMs} ms`]
      : []),
    ...sizes.map(({ record }) => `${record.name} keeps the histories of too many requests`),
    ...(views.size > 1 ? [`gateways disagree on blocked requests: ${[...views].join(' | ')}`] : []),
  ];
};

/**
 * Seeds that have failed. 175: a single gateway that restarts twice lost its crash histories each time, and a lethal
 * request that arrived every few seconds reached replicas in four late requests. 1159: a harmless request was blocked by
 * crashes of replicas that ran it, also of one in a gather that other replicas had already answered in part.
 */
const REGRESSION_SEEDS = [175, 1159];

/**
 * Seeds that have failed where callers leave. Several requests of a fingerprint ran at replicas at the same time before
 * these crashed, or followed each other while replicas refused them, or a restarted gateway had no history of the
 * fingerprint. In 235, a harmless request was held back for 14 s. In 1796, a gateway restarted before it had written
 * what it suspected to the store. In 251 and from 2128 on, gateways that had restarted or were cut off did not know of a
 * single round of crashes. 2620 still fails: replicas crash while the only gateway is down.
 */
const LEAVING_REGRESSION_SEEDS = [
  15, 22, 23, 24, 27, 30, 46, 52, 60, 64, 75, 83, 89, 92, 96, 100, 235, 251, 1796, 2128, 2232, 2301,
  2441, 2620, 2860,
];

describe('random runs of requests that crash replicas', () => {
  const seeds = Array.from({ length: RUNS }, (_, index) => FIRST_SEED + index);

  it.each([...REGRESSION_SEEDS, ...seeds])('hold the invariants (seed %i)', (seed) => {
    expect(problemsOf(seed, 'callers-wait')).toEqual([]);
  });

  it.each([...LEAVING_REGRESSION_SEEDS, ...seeds])(
    'hold the invariants where replicas crash in unawaited runs (seed %i)',
    (seed) => {
      expect(problemsOf(seed, 'callers-leave')).toEqual([]);
    },
  );
});
