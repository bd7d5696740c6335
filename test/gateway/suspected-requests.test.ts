import { describe, expect, it } from 'vitest';
import type { CallerResponse } from '../../src/gateway/model/request.js';
import { type SentRequest, CrashNetwork, type CrashNode, lateRequests } from './crash-network.js';
import { gatherOf, routeTo } from './virtual-gateway.js';

const GATHER = routeTo(gatherOf(20, 0.89), { pathPrefix: '/all/', objectiveMs: 116 });
const SINGLE = routeTo(
  { type: 'service', service: 'records' },
  { name: 'one', pathPrefix: '/one/', objectiveMs: 400 },
);
const ONCE = routeTo(
  { type: 'service', service: 'bookings' },
  { name: 'once', pathPrefix: '/once/', repeatable: false },
);
const ROUTES = [GATHER, SINGLE, ONCE];

const networkOf = (seed: number, gateways = 8, copies = 3): CrashNetwork => {
  const network = new CrashNetwork(seed);
  network.build(gateways, ROUTES, copies, gateways > 16 ? 40 : 32);
  return network;
};

const reasonOf = (response: CallerResponse | undefined): string | undefined =>
  response?.type === 'refusal' ? response.reason : response?.type;

const reasonsOf = ({ responses }: SentRequest): readonly (string | undefined)[] =>
  responses.map(reasonOf);

const isServed = ({ responses }: SentRequest): boolean => {
  const last = responses.at(-1);
  return last !== undefined && last.type !== 'refusal';
};

const SEEDS = [1, 2, 3, 4, 5];

describe('harmless request that was running when replicas crashed', () => {
  it.each(SEEDS)('is served where half of the replicas crash at once (seed %i)', (seed) => {
    const network = networkOf(seed);
    const asked = Array.from({ length: 40 }, (_, index) =>
      network.sendRequest({
        fingerprint: `r-${index}`,
        path: index % 2 === 0 ? '/all/x' : '/one/x',
      }),
    );
    network.at(8, () => network.crash(({ name }) => name.endsWith('/0')));
    network.advance(3_000);
    expect(asked.filter(isServed)).toHaveLength(asked.length);
  });

  it.each(SEEDS)(
    'is served when sent again after all replicas crashed at once (seed %i)',
    (seed) => {
      const network = networkOf(seed);
      const asked = Array.from({ length: 20 }, (_, index) =>
        network.sendRequest({
          fingerprint: `r-${index}`,
          path: index % 2 === 0 ? '/all/x' : '/one/x',
        }),
      );
      network.at(8, () => network.crash(() => true));
      network.advance(4_000);
      const again = asked.map(({ fingerprint, path = '' }) =>
        network.sendRequest({ fingerprint, path }),
      );
      network.advance(2_000);
      expect(again.filter(isServed)).toHaveLength(again.length);
    },
  );

  it.each(SEEDS)(
    'is served when it is popular and all replicas crash repeatedly (seed %i)',
    (seed) => {
      const network = networkOf(seed);
      for (let at = 0; at < 20_000; at += 40) {
        network.at(at, () => network.sendRequest({ fingerprint: 'popular', path: '/all/x' }));
      }
      for (const at of [2_000, 6_500, 11_000]) {
        network.at(at, () => network.crash(() => true));
      }
      network.advance(22_000);
      const blocked = network.asked.filter((asked) =>
        reasonsOf(asked).includes('crashes-replicas'),
      );
      expect(blocked).toHaveLength(0);
      const calm = network.asked.filter(({ requestedAt }) => requestedAt > 15_500);
      expect(calm.filter(isServed)).toHaveLength(calm.length);
    },
  );

  it.each(SEEDS)('is served beside a poison request to the same service (seed %i)', (seed) => {
    const network = networkOf(seed);
    network.lethal.add('lethal');
    for (let at = 0; at < 10_000; at += 250) {
      network.at(at, () => network.sendRequest({ fingerprint: 'lethal', path: '/one/x' }));
    }
    for (let at = 0; at < 20_000; at += 20) {
      network.at(at, () => network.sendRequest({ fingerprint: `r-${at % 200}`, path: '/one/x' }));
    }
    network.advance(25_000);
    const others = network.asked.filter(({ fingerprint }) => fingerprint !== 'lethal');
    const blocked = others.filter((asked) => reasonsOf(asked).includes('crashes-replicas'));
    expect(blocked).toHaveLength(0);
    const later = others.filter(({ requestedAt }) => requestedAt > 5_000);
    expect(later.filter(isServed)).toHaveLength(later.length);
  });
});

describe('request that its service always answers with a failure', () => {
  it('is never treated as a poison request, and its failure is passed through', () => {
    const network = networkOf(10);
    network.insteadOfRunning = (_place, fingerprint) =>
      fingerprint === 'failing' ? 'fails' : undefined;
    for (let at = 0; at < 10_000; at += 50) {
      network.at(at, () =>
        network.sendRequest({ fingerprint: 'failing', path: '/one/x', retries: 0 }),
      );
    }
    network.at(5_000, () => network.crash(({ name }) => name.endsWith('/0')));
    network.advance(12_000);
    expect(new Set(network.asked.flatMap(reasonsOf))).toEqual(new Set(['pass-through']));
  });
});

/** Sends the lethal request every `everyMs` to any gateway; its caller retries once. */
const scheduleLethalRequests = (
  network: CrashNetwork,
  path: string,
  everyMs: number,
  forMs: number,
): void => {
  network.lethal.add('lethal');
  for (let at = network.now; at < network.now + forMs; at += everyMs) {
    network.at(at, () => network.sendRequest({ fingerprint: 'lethal', path }));
  }
};

const PROPAGATION_MS = 4_000;

describe('poison request', () => {
  const cases = ['/all/x', '/one/x', '/once/x'].flatMap((path) =>
    [100, 1_000, 4_200].map((everyMs) => [path, everyMs] as const),
  );

  it.each(cases)('is stopped: %s every %i ms', (path, everyMs) => {
    for (const gateways of [1, 8, 40]) {
      const network = networkOf(everyMs, gateways);
      scheduleLethalRequests(network, path, everyMs, 30_000);
      network.advance(32_000);
      expect(lateRequests(network, 'lethal', PROPAGATION_MS)).toBeLessThanOrEqual(3);
    }
  });

  it('is refused at once without an attempt, with the time until its next trial', () => {
    const network = networkOf(1);
    scheduleLethalRequests(network, '/all/x', 300, 10_000);
    network.advance(12_000);
    const [refused] = network.asked.at(-1)?.responses ?? [];
    expect(refused).toMatchObject({
      type: 'refusal',
      reason: 'crashes-replicas',
      mayHaveRun: false,
    });
    const retryAfterMs = refused?.type === 'refusal' ? (refused.retryAfterMs ?? 0) : 0;
    expect(retryAfterMs).toBeGreaterThan(45_000);
    expect(retryAfterMs).toBeLessThan(60_000);
  });

  it('is refused by a restarted gateway within 4 s', () => {
    const network = networkOf(2);
    scheduleLethalRequests(network, '/all/x', 300, 5_000);
    network.advance(6_000);
    const { arrivals } = network;
    const before = arrivals.length;
    const [first] = network.nodes;
    if (first !== undefined) {
      network.kill(first);
      network.advance(500);
      network.start(first);
    }
    network.advance(4_000);
    network.sendRequest({ fingerprint: 'lethal', path: '/all/x', gateway: 'front-0', retries: 0 });
    network.advance(1_000);
    expect(arrivals.slice(before)).toHaveLength(0);
  });

  it('is refused by a gateway that was cut off from all others, after it is connected again', () => {
    const network = networkOf(3);
    const [first, ...others] = network.nodes;
    const setCut = (isCut: boolean): void =>
      others.forEach((other) => first !== undefined && network.setCut(first, other, isCut));
    setCut(true);
    scheduleLethalRequests(network, '/all/x', 300, 5_000);
    network.advance(8_000);
    setCut(false);
    network.advance(4_000);
    const before = network.arrivals.length;
    network.sendRequest({ fingerprint: 'lethal', path: '/all/x', gateway: 'front-0', retries: 0 });
    network.advance(1_000);
    expect(network.arrivals.slice(before)).toHaveLength(0);
  });

  it('is refused after all gateways have restarted', () => {
    const network = networkOf(7);
    scheduleLethalRequests(network, '/all/x', 300, 5_000);
    network.advance(6_000);
    network.nodes.forEach((node) => network.kill(node));
    network.advance(1_000);
    network.nodes.forEach((node) => network.start(node));
    network.advance(1_000);
    const before = network.arrivals.length;
    const asked = network.nodes.map(({ record }) =>
      network.sendRequest({ fingerprint: 'lethal', path: '/all/x', gateway: record.name }),
    );
    network.advance(2_000);
    expect(network.arrivals.slice(before)).toHaveLength(0);
    expect(asked.map((each) => reasonsOf(each)[0])).toEqual(asked.map(() => 'crashes-replicas'));
  });

  /**
   * Restarts a gateway that did not know of the request: it reaches the store, but is cut off from all other gateways.
   */
  const startIsolated = (network: CrashNetwork): CrashNode | undefined => {
    const [first, ...others] = network.nodes;
    if (first !== undefined) {
      network.kill(first);
      first.stored = first.record;
      others.forEach((other) => network.setCut(first, other, true));
      network.start(first);
    }
    return first;
  };

  const verdictAt = (node: CrashNode | undefined, network: CrashNetwork): string | undefined =>
    node?.state.crashes.histories.verdict('lethal', network.now);

  it('is suspected by a restarted gateway that is cut off, from the entries of the others', () => {
    const network = networkOf(11);
    scheduleLethalRequests(network, '/all/x', 500, 5_000);
    network.advance(6_000);
    const isolated = startIsolated(network);
    expect(verdictAt(isolated, network)).toBe('suspected');
    network.sendRequest({ fingerprint: 'lethal', path: '/all/x', gateway: 'front-0', retries: 0 });
    network.advance(2_000);
    expect(verdictAt(isolated, network)).toBe('blocked');
  });

  const sendLethal = (
    network: CrashNetwork,
    gateway: string,
    path: string,
    fingerprint = 'lethal',
  ): void => {
    network.lethal.add(fingerprint);
    network.sendRequest({ fingerprint, path, gateway, retries: 0 });
  };

  /** Restarts a gateway. */
  const restart = (network: CrashNetwork, node: CrashNode | undefined): void => {
    if (node !== undefined) {
      network.kill(node);
      network.advance(1_000);
      network.start(node);
    }
  };

  // A lone gateway that restarted after each first crash let a request crash one replica after another.
  it('is suspected by a restarted gateway after a single round', () => {
    const network = networkOf(13, 1);
    sendLethal(network, 'front-0', '/one/x');
    network.advance(1_000);
    restart(network, network.nodes[0]);
    expect(verdictAt(network.nodes[0], network)).toBe('suspected');
  });

  // A gateway that was cut off sent it like any other request, and the crash counted as a first round again.
  it('is suspected after a single round by a gateway that is cut off from the others', () => {
    const network = networkOf(14, 3);
    const isolated = startIsolated(network);
    sendLethal(network, 'front-1', '/one/x');
    network.advance(1_000);
    expect(verdictAt(isolated, network)).toBe('suspected');
  });

  // The entry was written at most every 1.5 s, and a gateway that ended before forgot what it had seen since.
  it('is kept in the store soon after another one', () => {
    const network = networkOf(15, 1);
    const [node] = network.nodes;
    for (const fingerprint of ['earlier', 'lethal']) {
      for (let call = 0; call < 2; call += 1) {
        sendLethal(network, 'front-0', '/all/x', fingerprint);
        network.advance(200);
      }
    }
    restart(network, node);
    expect(verdictAt(node, network)).toBe('suspected');
  });

  it('is served by a restarted gateway once it is harmless, despite entries of other gateways', () => {
    const network = networkOf(12);
    scheduleLethalRequests(network, '/all/x', 500, 5_000);
    network.advance(10_000);
    network.lethal.clear();
    startIsolated(network);
    const asked = network.sendRequest({
      fingerprint: 'lethal',
      path: '/all/x',
      gateway: 'front-0',
    });
    network.advance(2_000);
    expect(isServed(asked)).toBe(true);
  });

  it('is stopped while the store is down', () => {
    const network = networkOf(8);
    network.isStoreDown = true;
    scheduleLethalRequests(network, '/all/x', 1_000, 20_000);
    network.advance(22_000);
    expect(lateRequests(network, 'lethal', PROPAGATION_MS)).toBeLessThanOrEqual(3);
  });

  it('is removed from the store once a replica has answered it', () => {
    const network = networkOf(9);
    scheduleLethalRequests(network, '/all/x', 500, 5_000);
    network.advance(70_000);
    expect(network.nodes.some(({ stored }) => stored.suspects !== undefined)).toBe(true);
    network.lethal.clear();
    network.sendRequest({ fingerprint: 'lethal', path: '/all/x' });
    network.advance(5_000);
    expect(network.nodes.every(({ stored }) => stored.suspects === undefined)).toBe(true);
  });

  it('is sent to one replica as a trial after a minute, and is served once it is harmless', () => {
    const network = networkOf(4);
    scheduleLethalRequests(network, '/all/x', 500, 5_000);
    network.advance(63_000);
    const before = network.crashes.length;
    network.sendRequest({ fingerprint: 'lethal', path: '/all/x', retries: 0 });
    network.advance(10_000);
    expect(network.crashes.length).toBe(before + 1);
    network.sendRequest({ fingerprint: 'lethal', path: '/all/x', retries: 0 });
    network.advance(600_000);
    expect(network.crashes.length).toBe(before + 1);
    network.lethal.clear();
    const trial = network.sendRequest({ fingerprint: 'lethal', path: '/all/x', retries: 0 });
    network.advance(1_000);
    const later = network.nodes.map(({ record }) =>
      network.sendRequest({
        fingerprint: 'lethal',
        path: '/all/x',
        gateway: record.name,
        retries: 0,
      }),
    );
    network.advance(1_000);
    expect([trial, ...later].every(isServed)).toBe(true);
  });

  it('causes few messages between gateways, and none after its history has expired', () => {
    const network = networkOf(5);
    scheduleLethalRequests(network, '/all/x', 300, 10_000);
    network.advance(10_000);
    expect(network.messages).toBeLessThan(8 * 25);
    network.advance(680_000);
    const { messages } = network;
    network.advance(60_000);
    expect(network.messages).toBe(messages);
  });

  it('causes no messages where replicas crash for another reason and others serve their requests', () => {
    const network = networkOf(6);
    for (let at = 0; at < 1_000; at += 5) {
      network.at(at, () => network.sendRequest({ fingerprint: `r-${at}`, path: '/one/x' }));
    }
    network.at(500, () => network.crash(({ name }) => name.endsWith('/0')));
    network.advance(5_000);
    expect(network.messages).toBe(0);
  });
});
