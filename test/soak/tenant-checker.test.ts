/** Tests that the checker of the soak finds a violation of each promise to tenants in synthetic observations. */
import { beforeEach, describe, expect, it } from 'vitest';
import type { VersionTenant } from '../../soak/model/observations.js';
import { MAIN_KEY, SyntheticRun } from './synthetic-run.js';

const MAIN: VersionTenant = { name: 'main', keys: [MAIN_KEY] };
const LEAVING: VersionTenant = { name: 'leaving', keys: ['key-leaving'] };
const OTHER: VersionTenant = { name: 'other', keys: ['key-other'] };
const URGENT: VersionTenant = { name: 'urgent', keys: ['key-urgent'], priority: 0 };
const BATCH: VersionTenant = { name: 'batch', keys: ['key-batch'], priority: 2 };

/** Allows 10 x 5 + 10, times 1.1, plus 20, which is 86 requests in a window. */
const CAPPED: VersionTenant = {
  name: 'capped',
  keys: ['key-capped'],
  limit: { ratePerSecond: 10, burst: 10 },
};
const ALLOWED = 86;

/** The same with 1 x 5 + 1, times 1.1, plus 20, which is 26 requests. */
const LOWERED = { ...CAPPED, limit: { ratePerSecond: 1, burst: 1 } };
const ALLOWED_LOWERED = 26;

let run: SyntheticRun;

beforeEach(() => {
  run = new SyntheticRun([MAIN, LEAVING, OTHER, URGENT, BATCH, CAPPED]);
});

/** Adds `count` served requests, spread over 4.9 s. */
const serveMany = (count: number, apiKey: string, from = 30_000): void => {
  for (let index = 0; index < count; index += 1) {
    run.addServed('/once/x', 'desk', { apiKey, sentAt: from + (4_900 * index) / count });
  }
};

describe('a run with tenants in which every promise holds', () => {
  it('has no violation', () => {
    run.addServed('/once/x', 'desk', { apiKey: 'key-leaving' });
    run.addRefused('/once/x', 401);
    run.addRefused('/once/x', 401, { apiKey: 'key-nobody' });
    run.addRefused('/once/x', 503, { apiKey: 'key-leaving' });
    expect(run.broken()).toEqual([]);
  });
});

describe('the check of identities', () => {
  it('rejects a key that a replica received', () => {
    const request = run.addServed('/move/x', 'desk', { apiKey: MAIN_KEY });
    run.addArrival(request, 'desk', { showsKey: true });
    expect(run.broken()).toEqual(['hidden-keys']);
  });

  it('rejects a key in the output of a gateway', () => {
    run.observations.loggedKeys.push({ gateway: 0, at: 20_000 });
    expect(run.broken()).toEqual(['hidden-keys']);
  });

  it.each(['other', undefined])('rejects the tenant name %s in place of the right one', (name) => {
    const request = run.addServed('/move/x', 'desk', { apiKey: MAIN_KEY });
    run.addArrival(request, 'desk', { tenant: name } as object);
    expect(run.broken()).toEqual(['tenant-names']);
  });

  it.each([{}, { apiKey: 'key-nobody' }])('rejects a run for %o', (fields) => {
    run.addServed('/once/x', 'desk', fields);
    expect(run.broken()).toEqual(['unknown-keys']);
  });

  it('rejects a run that was answered 401', () => {
    run.addArrival(run.addRefused('/once/x', 401, { apiKey: MAIN_KEY }), 'desk');
    expect(run.broken()).toEqual(['refused-never-ran', 'needless-401']);
  });
});

describe('the check of a key that moved', () => {
  const move = (): void =>
    run.addVersion(20_000, [
      MAIN,
      { ...LEAVING, keys: [] },
      { ...OTHER, keys: ['key-other', 'key-leaving'] },
      URGENT,
      BATCH,
      CAPPED,
    ]);

  it('allows the former tenant until the bound on configuration has passed', () => {
    move();
    const request = run.addServed('/once/x', 'desk', { apiKey: 'key-leaving', sentAt: 22_500 });
    Object.assign(run.observations.arrivals.at(-1) ?? {}, { tenant: 'leaving' });
    expect(request.sentAt).toBe(22_500);
    expect(run.broken()).toEqual([]);
  });

  it('rejects the former tenant after it', () => {
    move();
    run.addServed('/once/x', 'desk', { apiKey: 'key-leaving', sentAt: 23_500 });
    Object.assign(run.observations.arrivals.at(-1) ?? {}, { tenant: 'leaving' });
    expect(run.broken()).toEqual(['tenant-names']);
  });

  it('allows the former tenant at a gateway out of contact', () => {
    move();
    run.addDisturbance(0, 19_000, 30_000);
    run.addServed('/once/x', 'desk', { apiKey: 'key-leaving', sentAt: 23_500 });
    Object.assign(run.observations.arrivals.at(-1) ?? {}, { tenant: 'leaving' });
    expect(run.broken()).toEqual([]);
  });
});

describe('the check of revoked keys', () => {
  const runAfterRemoval = (sentAt: number): void => {
    run.addServed('/once/x', 'desk', { apiKey: 'key-leaving', sentAt: 10_000 });
    run.addVersion(20_000, [MAIN, OTHER, URGENT, BATCH, CAPPED]);
    const request = run.addRequest('/once/x', { type: 'cut' }, { apiKey: 'key-leaving', sentAt });
    run.addArrival(request, 'desk', { tenant: 'leaving' });
  };

  it('allows a request that was sent within the bound at a gateway out of contact', () => {
    run.addDisturbance(0, 19_000, 30_000);
    runAfterRemoval(24_900);
    expect(run.broken()).toEqual([]);
  });

  it('rejects one that was sent later, also at a gateway out of contact', () => {
    run.addDisturbance(0, 19_000, 30_000);
    runAfterRemoval(25_100);
    expect(run.broken()).toEqual(['revoked-keys']);
  });

  it('allows a refusal with 503 and 401', () => {
    run.addVersion(20_000, [MAIN, OTHER, URGENT, BATCH, CAPPED]);
    run.addRefused('/once/x', 503, { apiKey: 'key-leaving', sentAt: 26_000 });
    run.addRefused('/once/x', 401, { apiKey: 'key-leaving', sentAt: 20_100 });
    expect(run.broken()).toEqual([]);
  });

  it('rejects 401 before the removal, also at a gateway out of contact', () => {
    run.addDisturbance(0, 9_000, 30_000);
    run.addRefused('/once/x', 401, { apiKey: 'key-leaving', sentAt: 19_000 });
    run.addVersion(20_000, [MAIN, OTHER, URGENT, BATCH, CAPPED]);
    expect(run.broken()).toEqual(['needless-401']);
  });
});

describe('the check of quotas', () => {
  it('allows the quota, the overshoot and the slack in a window', () => {
    serveMany(ALLOWED, 'key-capped');
    serveMany(ALLOWED, 'key-capped', 35_100);
    expect(run.broken()).toEqual([]);
  });

  it('rejects one request more, also while gateways are out of contact', () => {
    run.addDisturbance(0, 19_000, 50_000);
    run.addDisturbance('store', 19_000, 50_000);
    serveMany(ALLOWED + 1, 'key-capped');
    expect(run.broken()).toEqual(['quotas']);
  });

  it('rejects it in a window that begins between two others', () => {
    serveMany(ALLOWED / 2, 'key-capped', 30_000);
    serveMany(ALLOWED / 2 + 30, 'key-capped', 32_450);
    expect(run.broken()).toEqual(['quotas']);
  });

  it('counts the parts and repeats of a request once', () => {
    serveMany(ALLOWED, 'key-capped');
    const request = run.addServed('/move/x', 'desk', { apiKey: 'key-capped', sentAt: 50_000 });
    for (let index = 0; index <= ALLOWED; index += 1) {
      run.addArrival(request, 'desk');
    }
    expect(run.broken()).not.toContain('quotas');
  });

  it('does not limit tenants without a quota', () => {
    serveMany(3 * ALLOWED, MAIN_KEY);
    expect(run.broken()).toEqual([]);
  });

  it('allows the former quota in windows that begin before the bound on configuration', () => {
    run.addVersion(27_500, [MAIN, LEAVING, OTHER, URGENT, BATCH, LOWERED]);
    serveMany(ALLOWED, 'key-capped');
    expect(run.broken()).toEqual([]);
  });

  it('rejects it in later windows', () => {
    run.addVersion(20_000, [MAIN, LEAVING, OTHER, URGENT, BATCH, LOWERED]);
    serveMany(ALLOWED_LOWERED + 1, 'key-capped');
    expect(run.broken()).toEqual(['quotas']);
  });
});

describe('the check of classes', () => {
  /** Both classes send 100 requests, of which the given numbers are served. */
  const serveClasses = (urgent: number, batch: number): void => {
    for (let index = 0; index < 100; index += 1) {
      const sentAt = 30_000 + 20 * index;
      const send = (apiKey: string, isServed: boolean): unknown =>
        isServed
          ? run.addServed('/once/x', 'desk', { apiKey, sentAt })
          : run.addRefused('/once/x', 503, { apiKey, sentAt });
      send('key-urgent', (index * 37) % 100 < urgent);
      send('key-batch', (index * 37) % 100 < batch);
    }
  };

  it('allows the urgent class to be served more often, or slightly less often', () => {
    serveClasses(60, 68);
    expect(run.broken()).toEqual([]);
    run = new SyntheticRun([MAIN, URGENT, BATCH]);
    serveClasses(90, 20);
    expect(run.broken()).toEqual([]);
  });

  it('rejects an urgent class that is served considerably less often', () => {
    serveClasses(60, 75);
    expect(run.broken()).toEqual(['class-order']);
  });

  it('compares only periods in which both sent requests', () => {
    serveClasses(60, 60);
    serveMany(300, 'key-batch', 50_000);
    expect(run.broken()).toEqual([]);
  });

  it('judges only runs without faults', () => {
    run.addDisturbance(0, 1_000, 2_000);
    serveClasses(60, 75);
    expect(run.broken()).toEqual([]);
  });
});

describe('the check of the recovery', () => {
  it('expects no success for a key that is not valid, or beyond a quota', () => {
    for (let index = 0; index < 30; index += 1) {
      run.addRefused('/once/x', 401, { sentAt: 113_000 });
      run.addRefused('/once/x', 429, { apiKey: 'key-capped', sentAt: 113_000 });
    }
    expect(run.broken()).toEqual([]);
  });

  it('expects success for a valid key without a quota', () => {
    for (let index = 0; index < 30; index += 1) {
      run.addRefused('/once/x', 503, { apiKey: MAIN_KEY, sentAt: 113_000 });
    }
    expect(run.broken()).toEqual(['recovery']);
  });
});
