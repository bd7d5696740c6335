/**
 * What was seen: under one request of a caller three replicas had ended, and it was sent to replicas 7 and 14 times more;
 * 147 and 172 ended in all, though a request under which replicas end is remembered at all gateways.
 *
 * How it came about: replicas end a tenth of a second after they have begun to run it. By then nobody waits for the
 * attempt: its caller has left, or its time is over, and the gateway has closed the connection itself. In a gather, a
 * replica that answers it with a failure of its own has what was known of it forgotten.
 *
 * What caused it: the end of a replica was only looked for where the replica broke a connection that was waited on, and
 * any answer with a signature was taken for proof that a replica can run the request.
 *
 * What proved that: these runs, which differ from ones that are stopped only in when the caller leaves, how long it waits,
 * and which replicas answer with a failure. No record of the day itself has lines of a gateway.
 */
import { describe, expect, it } from 'vitest';
import {
  type CallerRequest,
  CrashNetwork,
  lateAttempts,
  shareServed,
  lateRequests,
} from './crash-network.js';
import { gatherOf, routeTo } from './virtual-gateway.js';

const PROPAGATION_MS = 4_000;

/** Sends that may still reach replicas after that. */
const MAX_LATE_ATTEMPTS = 3;

const LETHAL = 'lethal';

const GATHER = routeTo(gatherOf(20, 0.89), { pathPrefix: '/all/', objectiveMs: 116 });
const SINGLE = routeTo(
  { type: 'service', service: 'records' },
  { name: 'one', pathPrefix: '/one/' },
);

const PATHS = ['/one/x', '/all/x'] as const;

const isOther = (fingerprint: string): boolean => fingerprint !== LETHAL;

/** How the lethal request comes, and what it does. */
interface Incident {
  readonly seed: number;
  readonly asking: Partial<CallerRequest>;
  /** Time after which a replica ends; drawn as any work where absent. */
  readonly lethalMs?: number;
  readonly insteadOfRunning?: CrashNetwork['insteadOfRunning'];
  /** Where there are many, gathers go over feeders. */
  readonly gateways?: number;
}

/** The lethal request comes each 300 ms for 13 s, others each 30 ms all the while. */
const runIncident = ({
  seed,
  asking,
  lethalMs,
  insteadOfRunning,
  gateways = 8,
}: Incident): CrashNetwork => {
  const network = new CrashNetwork(seed);
  network.build(gateways, [GATHER, SINGLE], 3, gateways > 16 ? 40 : 32);
  network.lethal.add(LETHAL);
  network.lethalMs = lethalMs;
  network.insteadOfRunning = insteadOfRunning ?? network.insteadOfRunning;
  for (let at = 1_000; at < 14_000; at += 300) {
    network.at(at, () => network.sendRequest({ fingerprint: LETHAL, retries: 0, ...asking }));
  }
  for (let at = 0; at < 20_000; at += 30) {
    network.at(at, () =>
      network.sendRequest({ fingerprint: `other-${at}`, path: '/all/y', retries: 1 }),
    );
  }
  network.advance(25_000);
  return network;
};

const expectStopped = (network: CrashNetwork): void => {
  expect(lateAttempts(network, LETHAL, PROPAGATION_MS)).toBeLessThanOrEqual(MAX_LATE_ATTEMPTS);
  expect(shareServed(network, isOther, 4_000, 20_000)).toBeGreaterThan(0.95);
};

describe('a request under which replicas end when nobody waits for them', () => {
  it('reaches replicas no more where its callers leave before', () => {
    for (const path of PATHS) {
      expectStopped(runIncident({ seed: 11, lethalMs: 90, asking: { path, leavesAfterMs: 40 } }));
    }
  });

  it('reaches replicas no more where feeders ask them, and are told that the rest is not wanted', () => {
    const asking = { path: '/all/x', leavesAfterMs: 40 };
    expectStopped(runIncident({ seed: 16, lethalMs: 90, gateways: 40, asking }));
  });

  it('reaches replicas no more where the time of its callers is over before', () => {
    for (const path of PATHS) {
      expectStopped(runIncident({ seed: 12, lethalMs: 120, asking: { path, budgetMs: 70 } }));
    }
  });
});

describe('a request that comes again before replicas end under it', () => {
  it.each(PATHS)('reaches replicas no more: %s', (path) => {
    expectStopped(runIncident({ seed: 14, lethalMs: 2_000, asking: { path, leavesAfterMs: 300 } }));
  });
});

describe('a request over feeders that comes again before replicas end under it', () => {
  /** Late tries of each case: a seed, and the time after which replicas end. */
  const lateRequestsOf = (
    cases: readonly (readonly [number, number])[],
    asking: Partial<CallerRequest>,
  ): readonly number[] =>
    cases.map(([seed, lethalMs]) =>
      lateRequests(runIncident({ seed, lethalMs, gateways: 40, asking }), LETHAL, PROPAGATION_MS),
    );

  it('reaches replicas no more where its callers leave', () => {
    const cases = [
      [13, 2_000],
      [16, 3_000],
    ] as const;
    const late = lateRequestsOf(cases, { path: '/all/x', leavesAfterMs: 300 });
    expect(Math.max(...late), late.join()).toBeLessThanOrEqual(MAX_LATE_ATTEMPTS);
  });

  it('reaches replicas no more where its callers wait', () => {
    const cases = [
      [13, 500],
      [14, 2_000],
      [16, 1_000],
    ] as const;
    const late = lateRequestsOf(cases, { path: '/all/x' });
    expect(Math.max(...late), late.join()).toBeLessThanOrEqual(MAX_LATE_ATTEMPTS);
  });
});

describe('a request that ends the replicas that run it', () => {
  it.each(PATHS)('reaches replicas no more where they refuse half of what comes: %s', (path) => {
    let count = 0;
    const insteadOfRunning: CrashNetwork['insteadOfRunning'] = () => {
      count += 1;
      return count % 2 === 0 ? 'refuses' : undefined;
    };
    const network = runIncident({ seed: 15, insteadOfRunning, asking: { path, retries: 1 } });
    expect(lateRequests(network, LETHAL, PROPAGATION_MS)).toBeLessThanOrEqual(MAX_LATE_ATTEMPTS);
  });

  it('reaches replicas no more where others answer it with a failure that they sign', () => {
    const insteadOfRunning: CrashNetwork['insteadOfRunning'] = (place, fingerprint) =>
      place.endsWith('/0') && fingerprint === LETHAL ? 'fails' : undefined;
    expectStopped(
      runIncident({ seed: 13, insteadOfRunning, asking: { path: '/all/x', retries: 1 } }),
    );
  });
});
