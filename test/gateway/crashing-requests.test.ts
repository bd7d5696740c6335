/**
 * What was seen: under one request of a caller three replicas had ended, and it was sent on; 148 and 198 replicas ended
 * in all, and for a quarter of a minute at a time nearly no request over all shards was served.
 *
 * How it came about: the request ends each replica that runs it. Its caller, and others, ask again, at any gateway and
 * under a new identifier each time. Each time it went to one replica of every shard, and after the break to the other.
 *
 * What caused it: nothing remembered which request was running when a replica ended. Budgets of repeats count the
 * arrivals beyond the first of one try, so that a request that comes again was a new one to all of them.
 *
 * What proved that: the record of that day. All attempts at the request broke off, none was ever answered, replicas of
 * services that it was not sent to lost nothing, and replicas ended in rounds as it came again.
 */
import { describe, expect, it } from 'vitest';
import { CrashNetwork, shareServed, lateRequests } from './crash-network.js';
import { gatherOf, routeTo } from './virtual-gateway.js';

const PROPAGATION_MS = 4_000;

/** Tries that may still reach replicas after that. */
const MAX_LATE_REQUESTS = 3;

const LETHAL = 'lethal';

const GATHER = routeTo(gatherOf(20, 0.89), { pathPrefix: '/all/', objectiveMs: 116 });
const SINGLE = routeTo(
  { type: 'service', service: 'records' },
  { name: 'one', pathPrefix: '/one/' },
);

/** The lethal request comes each 300 ms for a quarter of a minute, others each 30 ms all the while. */
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

describe('a request that ends every replica that runs it', () => {
  it('reaches replicas no more from any gateway when it goes to all shards', () => {
    const network = new CrashNetwork(1);
    network.build(8, [GATHER], 2);
    runIncident(network, '/all/x');
    expect(lateRequests(network, LETHAL, PROPAGATION_MS)).toBeLessThanOrEqual(MAX_LATE_REQUESTS);
  });

  it('leaves the replicas to the others that ask for all shards', () => {
    const network = new CrashNetwork(2);
    network.build(8, [GATHER], 2);
    runIncident(network, '/all/x');
    expect(shareServed(network, isOther, 2_000, 16_000)).toBeGreaterThan(0.95);
  });

  it('reaches replicas no more from any gateway when it goes to one replica', () => {
    const network = new CrashNetwork(3);
    network.build(8, [GATHER, SINGLE], 4);
    runIncident(network, '/one/x');
    expect(lateRequests(network, LETHAL, PROPAGATION_MS)).toBeLessThanOrEqual(MAX_LATE_REQUESTS);
  });
});
