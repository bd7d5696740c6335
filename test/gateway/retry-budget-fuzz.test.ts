/**
 * Several gateways over replicas that fail or refuse requests, in virtual time, while gateways are killed and cut off from
 * each other. Invariant, counted where requests arrive: in every window, the arrivals at a service beyond the first of each request
 * are at most the ratio of its requests plus the slack.
 *
 * `CROSSROAD_FUZZ_RUNS` sets the number of random runs, and `CROSSROAD_FUZZ_SEED` the first seed.
 */
import { describe, expect, it } from 'vitest';
import {
  type BudgetOverrun,
  findBudgetOverruns,
  findRepeatTimes,
} from '../../soak/checker/retry-budget.js';
import { createRandom } from '../../src/core/random.js';
import type { Route } from '../../src/gateway/model/route.js';
import { CrashNetwork, type CrashNode } from './crash-network.js';
import { Draw } from './draw.js';
import { GATEWAY_BOUNDS, gatherOf, routeTo } from './virtual-gateway.js';

const RUNS = Number(process.env['CROSSROAD_FUZZ_RUNS'] ?? 8);
const FIRST_SEED = Number(process.env['CROSSROAD_FUZZ_SEED'] ?? 1);

/** Connection limits of a replica: gateways connect to the replicas of shards themselves, or through feeders. */
const DIRECT_CONNECTIONS = 60;
const FED_CONNECTIONS = 8;

const GATEWAYS = 8;

/** Time in which faults begin, after all processes have run for a window, and the end of a random run, in milliseconds. */
const FIRST_FAULT_MS = 10_000;
const LAST_FAULT_MS = 25_000;
const END_MS = 32_000;

const ROUTES: readonly Route[] = [
  routeTo(gatherOf(2, 0.5), { pathPrefix: '/all/', objectiveMs: 116, maxAttempts: 3 }),
  routeTo(
    { type: 'service', service: 'one' },
    { name: 'one', pathPrefix: '/one/', objectiveMs: 400, maxAttempts: 3 },
  ),
];

const PREFIX_OF_SERVICE = { one: '/one/', s0: '/all/', s1: '/all/' } as const;

const sendAtRate = (network: CrashNetwork, path: string, perSecond: number, untilMs: number) => {
  for (let index = 0; index < (perSecond * untilMs) / 1_000; index += 1) {
    network.at((index * 1_000) / perSecond, () =>
      network.sendRequest({ fingerprint: `${path} ${index}`, path }),
    );
  }
};

/** The window with most repeats beyond the budget of each service; empty where all are within it. */
const worstOverruns = ({ arrivals, tries }: CrashNetwork) =>
  Object.entries(PREFIX_OF_SERVICE).flatMap(([service, prefix]) => {
    const repeats = findRepeatTimes(arrivals.filter((each) => each.service === service));
    const requests = tries.filter(({ path }) => path.startsWith(prefix)).map(({ at }) => at);
    const overruns: BudgetOverrun[] = [...findBudgetOverruns(repeats, requests, GATEWAY_BOUNDS)];
    const [worst] = overruns.sort((left, right) => right.repeats - left.repeats);
    return worst === undefined ? [] : [{ service, ...worst }];
  });

/** Kills some gateways, which start again at once or later. */
const killSome = (network: CrashNetwork, draw: Draw): void => {
  const share = draw.of([0.2, 0.6, 1]);
  for (const node of network.nodes.filter(() => draw.isTrue(share))) {
    network.kill(node);
    network.at(network.now + draw.between(0, 2_000), () => network.start(node));
  }
};

const cutSome = (network: CrashNetwork, draw: Draw): void => {
  const node: CrashNode = draw.of(network.nodes);
  const others = network.nodes.filter((other) => other !== node && draw.isTrue(0.7));
  others.forEach((other) => network.setCut(node, other, true));
  network.at(network.now + draw.between(500, 6_000), () =>
    others.forEach((other) => network.setCut(node, other, false)),
  );
};

/** Makes the replicas of a service fail or refuse most requests for some time. */
const failService = (network: CrashNetwork, draw: Draw): void => {
  const service = draw.of(Object.keys(PREFIX_OF_SERVICE));
  const outcome = draw.of(['fails', 'refuses'] as const);
  const untilAt = network.now + draw.between(2_000, 12_000);
  const before = network.insteadOfRunning;
  network.insteadOfRunning = (place, fingerprint) =>
    network.now < untilAt && place.startsWith(`${service}/`) && draw.isTrue(0.95)
      ? outcome
      : before(place, fingerprint);
};

const FAULTS = [failService, failService, killSome, killSome, cutSome] as const;

const scheduleFaults = (network: CrashNetwork, draw: Draw): void => {
  network.at(FIRST_FAULT_MS, () => failService(network, draw));
  for (let at = FIRST_FAULT_MS; at < LAST_FAULT_MS; at += draw.between(100, 4_000)) {
    network.at(at, () => draw.of(FAULTS)(network, draw));
  }
};

describe('repeats at a failing service', () => {
  // Processes that start do not know what the processes before them have sent in the same window.
  it('stay within the retry budget when all gateways are killed twice within its window', () => {
    const network = new CrashNetwork(1);
    network.build(GATEWAYS, ROUTES, 4, DIRECT_CONNECTIONS);
    network.insteadOfRunning = () => 'fails';
    sendAtRate(network, '/one/x', 20, 20_000);
    for (const killAt of [6_000, 9_000]) {
      network.at(killAt, () => network.nodes.forEach((node) => network.start(node)));
    }
    network.advance(22_000);
    expect(worstOverruns(network)).toEqual([]);
  });

  // Shares of the budget move between gateways, and legs between feeders, while both start and are cut off.
  it.each(Array.from({ length: RUNS }, (_, index) => FIRST_SEED + index))(
    'stay within the retry budget in random runs (seed %i)',
    (seed) => {
      const draw = new Draw(createRandom(seed));
      const network = new CrashNetwork(seed);
      const connections = draw.of([DIRECT_CONNECTIONS, FED_CONNECTIONS]);
      network.build(GATEWAYS, ROUTES, draw.of([2, 3, 4]), connections);
      sendAtRate(network, '/one/x', draw.of([8, 20, 40]), END_MS);
      sendAtRate(network, '/all/x', draw.of([8, 20, 40]), END_MS);
      scheduleFaults(network, draw);
      network.advance(END_MS);
      expect(worstOverruns(network)).toEqual([]);
    },
  );
});
