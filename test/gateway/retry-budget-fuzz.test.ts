/**
 * Several gateways over replicas that fail requests, in virtual time, while gateways are killed. Invariant, counted where requests arrive: in every window, the arrivals at a service beyond the first of each request
 * are at most the ratio of its requests plus the slack.
 */
import { describe, expect, it } from 'vitest';
import {
  type BudgetOverrun,
  findBudgetOverruns,
  findRepeatTimes,
} from '../../soak/checker/retry-budget.js';
import type { Route } from '../../src/gateway/model/route.js';
import { CrashNetwork } from './crash-network.js';
import { GATEWAY_BOUNDS, gatherOf, routeTo } from './virtual-gateway.js';

/** Connection limit of a replica with which gateways connect to the replicas of shards themselves. */
const DIRECT_CONNECTIONS = 60;

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

const overrunsOf = (network: CrashNetwork): readonly (BudgetOverrun & { service: string })[] =>
  Object.entries(PREFIX_OF_SERVICE).flatMap(([service, prefix]) => {
    const repeats = findRepeatTimes(network.arrivals.filter((each) => each.service === service));
    const requests = network.tries
      .filter(({ path }) => path.startsWith(prefix))
      .map(({ at }) => at);
    return findBudgetOverruns(repeats, requests, GATEWAY_BOUNDS).map((overrun) => ({
      service,
      ...overrun,
    }));
  });

/** The window with most repeats beyond the budget of each service; empty where all are within it. */
const worstOverruns = (network: CrashNetwork) => {
  const sorted = [...overrunsOf(network)].sort((left, right) => right.repeats - left.repeats);
  return Object.keys(PREFIX_OF_SERVICE).flatMap(
    (name) => sorted.find(({ service }) => service === name) ?? [],
  );
};

describe('repeats at a failing service', () => {
  // Processes that start do not know what the processes before them have sent in the same window.
  it('stay within the retry budget when all gateways are killed twice within its window', () => {
    const network = new CrashNetwork(1);
    network.build(8, ROUTES, 4, DIRECT_CONNECTIONS);
    network.insteadOfRunning = () => 'fails';
    sendAtRate(network, '/one/x', 20, 20_000);
    for (const killAt of [6_000, 9_000]) {
      network.at(killAt, () => network.nodes.forEach((node) => network.start(node)));
    }
    network.advance(22_000);
    expect(worstOverruns(network)).toEqual([]);
  });
});
