/**
 * Guards against poison requests whose crashes come after the attempt has ended. Such a request had crashed three
 * replicas and was sent to replicas 7 and 14 more times; 147 and 172 replicas crashed in total, although gateways keep
 * and share crash histories.
 *
 * Replicas crash about 100 ms after they start to run it. By then the caller has left or its time is over, and the
 * gateway has closed the connection itself; it checked replicas only where an awaited connection broke. In a gather, a
 * signed failure from one replica also cleared the history, since any signed answer counted as proof that a replica can
 * run the request. These runs differ from runs that are stopped only in when the caller leaves, how long it waits, and
 * which replicas answer with a failure.
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

/** Attempts that may still reach replicas after that time. */
const MAX_LATE_ATTEMPTS = 3;

const LETHAL = 'lethal';

const GATHER = routeTo(gatherOf(20, 0.89), { pathPrefix: '/all/', objectiveMs: 116 });
const SINGLE = routeTo(
  { type: 'service', service: 'records' },
  { name: 'one', pathPrefix: '/one/' },
);

const PATHS = ['/one/x', '/all/x'] as const;

const isOther = (fingerprint: string): boolean => fingerprint !== LETHAL;

/** How the lethal request is sent, and what it does. */
interface Incident {
  readonly seed: number;
  readonly request: Partial<CallerRequest>;
  /** Time after which a replica crashes, in milliseconds; drawn like any work where absent. */
  readonly lethalMs?: number;
  readonly insteadOfRunning?: CrashNetwork['insteadOfRunning'];
  /** Number of gateways; with many, gathers go through feeders. */
  readonly gateways?: number;
}

/** Sends the lethal request every 300 ms for 13 s, and others every 30 ms throughout. */
const runIncident = ({
  seed,
  request,
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
    network.at(at, () => network.sendRequest({ fingerprint: LETHAL, retries: 0, ...request }));
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

describe('poison request that crashes replicas in unawaited runs', () => {
  it('no longer reaches replicas where its callers leave before the crash', () => {
    for (const path of PATHS) {
      expectStopped(runIncident({ seed: 11, lethalMs: 90, request: { path, leavesAfterMs: 40 } }));
    }
  });

  it('no longer reaches replicas where feeders send it and their subqueries are cancelled', () => {
    const request = { path: '/all/x', leavesAfterMs: 40 };
    expectStopped(runIncident({ seed: 16, lethalMs: 90, gateways: 40, request }));
  });

  it('no longer reaches replicas where the time budget of its callers ends before the crash', () => {
    for (const path of PATHS) {
      expectStopped(runIncident({ seed: 12, lethalMs: 120, request: { path, budgetMs: 70 } }));
    }
  });
});

describe('poison request that is repeated before replicas crash', () => {
  it.each(PATHS)('no longer reaches replicas: %s', (path) => {
    expectStopped(
      runIncident({ seed: 14, lethalMs: 2_000, request: { path, leavesAfterMs: 300 } }),
    );
  });
});

describe('poison request through feeders that is repeated before replicas crash', () => {
  /** Number of late caller requests in each case: a seed, and the time after which replicas crash, in milliseconds. */
  const lateRequestsOf = (
    cases: readonly (readonly [number, number])[],
    request: Partial<CallerRequest>,
  ): readonly number[] =>
    cases.map(([seed, lethalMs]) =>
      lateRequests(runIncident({ seed, lethalMs, gateways: 40, request }), LETHAL, PROPAGATION_MS),
    );

  it('no longer reaches replicas where its callers leave', () => {
    const cases = [
      [13, 2_000],
      [16, 3_000],
    ] as const;
    const late = lateRequestsOf(cases, { path: '/all/x', leavesAfterMs: 300 });
    expect(Math.max(...late), late.join()).toBeLessThanOrEqual(MAX_LATE_ATTEMPTS);
  });

  it('no longer reaches replicas where its callers wait', () => {
    const cases = [
      [13, 500],
      [14, 2_000],
      [16, 1_000],
    ] as const;
    const late = lateRequestsOf(cases, { path: '/all/x' });
    expect(Math.max(...late), late.join()).toBeLessThanOrEqual(MAX_LATE_ATTEMPTS);
  });
});

describe('poison request', () => {
  it.each(PATHS)(
    'no longer reaches replicas where they refuse half of the attempts: %s',
    (path) => {
      let count = 0;
      const insteadOfRunning: CrashNetwork['insteadOfRunning'] = () => {
        count += 1;
        return count % 2 === 0 ? 'refuses' : undefined;
      };
      const network = runIncident({ seed: 15, insteadOfRunning, request: { path, retries: 1 } });
      expect(lateRequests(network, LETHAL, PROPAGATION_MS)).toBeLessThanOrEqual(MAX_LATE_ATTEMPTS);
    },
  );

  it('no longer reaches replicas where some of them answer it with a signed failure', () => {
    const insteadOfRunning: CrashNetwork['insteadOfRunning'] = (place, fingerprint) =>
      place.endsWith('/0') && fingerprint === LETHAL ? 'fails' : undefined;
    expectStopped(
      runIncident({ seed: 13, insteadOfRunning, request: { path: '/all/x', retries: 1 } }),
    );
  });
});
