/**
 * Random runs of several gateways over replicas that end, and what must hold in each:
 *
 * - A request that ends every replica that runs it is sent to replicas in at most three tries, by gateways in touch, later
 *   than 4 s after it has ended the third.
 * - A request that ends none is refused as one that does only while no replica has answered it since; once faults are
 *   over, all such requests are served.
 * - Every caller is answered within its time.
 * - Gateways remember a bounded number of requests, and agree on those that are blocked once faults are over.
 *
 * In half of the runs callers also leave or have little time, replicas end later than they are waited for, fail or refuse
 * what they are sent, and gateways are suspended.
 *
 * `CROSSROAD_FUZZ_RUNS` and `CROSSROAD_FUZZ_SEED` say how many runs, and from which seed on.
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

/** Faults end here; what must hold afterwards is looked at once blocks of innocent requests would have been tried. */
const FAULTS_END_MS = 25_000;
const SETTLED_MS = 35_000;

/** Longest time until a replica that has ended is back. */
const REPLICA_DOWN_MS = 3_700;

/** How long a caller waits, and how much longer an answer may take in the network of the tests. */
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

/** Whether runs that nobody waits for are a term of a run. */
type Scenario = 'callers-wait' | 'callers-leave';

/** How long the callers of a request wait: until it is answered, or not until then. */
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
    const asking = { fingerprint, path, budgetMs: BUDGET_MS, ...drawCallerLimits(draw, scenario) };
    for (let at = from; at < SETTLED_MS; at += everyMs * draw.between(0.5, 1.5)) {
      const retries = draw.below(3);
      network.at(at, () => network.sendRequest({ ...asking, retries }));
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

/** How long after it has begun to run such a request a replica ends: within the time of any other, soon after, or late. */
const CRASH_DELAYS_MS = [
  [10, 40],
  [50, 150],
  [150, 3_000],
] as const;

/** Replicas end later than they are waited for, or fail or refuse what they are sent; gateways are suspended. */
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

/** Gateways end and start, links are cut, and replicas end for causes of their own, few or many at once. */
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
 * Whether replicas are down for a lethal request that is not blocked yet: one that comes each few seconds, first near
 * the end of the faults, ends replicas in three rounds all the same, and a service has two.
 */
const hasReplicasDown = ({ crashes }: CrashNetwork, askedAt: number): boolean =>
  crashes.some(({ at }) => at > askedAt - REPLICA_DOWN_MS && at < askedAt + BUDGET_MS);

/** What does not hold in one run; empty where all does. */
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
    .filter(({ requests: tries }) => tries > MAX_LATE_REQUESTS)
    .map(({ each, requests: tries }) => `${each} reached replicas in ${tries} late tries`);
  const others = network.asked.filter(({ fingerprint }) => !network.lethal.has(fingerprint));
  const refused = others.filter(wasBlocked).map(({ fingerprint }) => `${fingerprint} was blocked`);
  const unserved = others
    .filter(
      (asked) => asked.requestedAt > FAULTS_END_MS + 6_000 && !isServed(asked) && !hasLeft(asked),
    )
    .filter(({ requestedAt: askedAt }) => !hasReplicasDown(network, askedAt))
    .map(
      ({ fingerprint, requestedAt: askedAt }) =>
        `${fingerprint} of ${Math.round(askedAt)} was not served`,
    );
  const unanswered = network.asked
    .filter((asked) => asked.responses.length === 0 && !asked.isLost && !hasLeft(asked))
    .map(
      ({ fingerprint, requestedAt: askedAt }) =>
        `${fingerprint} of ${Math.round(askedAt)} had no answer`,
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
    ...sizes.map(({ record }) => `${record.name} remembers too many`),
    ...(views.size > 1 ? [`gateways disagree: ${[...views].join(' | ')}`] : []),
  ];
};

/**
 * Seeds that have failed. 175: one gateway, which starts anew twice, forgot with each end what it had learnt; a request
 * that came each few seconds reached replicas in four late tries.
 */
const REGRESSION_SEEDS = [175];

/**
 * Seeds that have failed where callers leave: tries of the same request were at replicas at the same time while those had
 * not ended yet, or one followed the other while replicas refused them; a gateway that had started anew did not know of it. In 235 one that ends none was not sent for 14 s.
 * 251 still fails, by one late try: all replicas refuse two of them.
 */
const LEAVING_REGRESSION_SEEDS = [
  15, 22, 23, 24, 27, 30, 46, 52, 60, 64, 75, 83, 89, 92, 96, 100, 235, 251,
];

describe('random runs of requests that end replicas', () => {
  const seeds = Array.from({ length: RUNS }, (_, index) => FIRST_SEED + index);

  it.each([...REGRESSION_SEEDS, ...seeds])('keep what must hold (seed %i)', (seed) => {
    expect(problemsOf(seed, 'callers-wait')).toEqual([]);
  });

  it.each([...LEAVING_REGRESSION_SEEDS, ...seeds])(
    'keep it where nobody waits for replicas that end (seed %i)',
    (seed) => {
      expect(problemsOf(seed, 'callers-leave')).toEqual([]);
    },
  );
});
