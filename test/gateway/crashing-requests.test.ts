/**
 * Guards against a poison request that is sent to replicas again and again. In one incident, such a request had crashed
 * three replicas and was still sent on: 148 and 198 replicas crashed in total, and for 15 s at a time almost no request
 * to all shards was served.
 *
 * Its callers retry at any gateway with a new request identifier each time. Each request went to one replica of every
 * shard, and after the crash to another one. Gateways did not record which request was running when a replica crashed,
 * and retry budgets count only the attempts beyond the first of one request, so that each retry of a caller was new to
 * them. In the incident, no attempt of the request was ever answered, and replicas of other services did not crash.
 */
import { describe, expect, it } from 'vitest';
import { CrashNetwork, shareServed, lateRequests } from './crash-network.js';
import { gatherOf, routeTo } from './virtual-gateway.js';

const PROPAGATION_MS = 4_000;

/** Caller requests that may still reach replicas after that time. */
const MAX_LATE_REQUESTS = 3;

const LETHAL = 'lethal';

const GATHER = routeTo(gatherOf(20, 0.89), { pathPrefix: '/all/', objectiveMs: 116 });
const SINGLE = routeTo(
  { type: 'service', service: 'records' },
  { name: 'one', pathPrefix: '/one/' },
);

/** Sends the lethal request every 300 ms for 15 s, and others every 30 ms throughout. */
const runIncident = (network: CrashNetwork, path: string): void => {
  network.lethal.add(LETHAL);
  for (let at = 1_000; at < 16_000; at += 300) {
    network.at(at, () => network.sendRequest({ fingerprint: LETHAL, path }));
  }
  for (let at = 0; at < 20_000; at += 30) {
    network.at(at, () =>
      network.sendRequest({ fingerprint: `other-${at}`, path: '/all/y', retries: 1 }),
    );
  }
  network.advance(25_000);
};

const isOther = (fingerprint: string): boolean => fingerprint !== LETHAL;

describe('poison request', () => {
  it('to all shards no longer reaches replicas from any gateway', () => {
    const network = new CrashNetwork(1);
    network.build(8, [GATHER], 2);
    runIncident(network, '/all/x');
    expect(lateRequests(network, LETHAL, PROPAGATION_MS)).toBeLessThanOrEqual(MAX_LATE_REQUESTS);
  });

  it('to all shards leaves the replicas available for other requests', () => {
    const network = new CrashNetwork(2);
    network.build(8, [GATHER], 2);
    runIncident(network, '/all/x');
    expect(shareServed(network, isOther, 2_000, 16_000)).toBeGreaterThan(0.95);
  });

  it('to one replica no longer reaches replicas from any gateway', () => {
    const network = new CrashNetwork(3);
    network.build(8, [GATHER, SINGLE], 4);
    runIncident(network, '/one/x');
    expect(lateRequests(network, LETHAL, PROPAGATION_MS)).toBeLessThanOrEqual(MAX_LATE_REQUESTS);
  });
});
