import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { type CallerAnswer, GatewayFixture, until } from './gateway-fixture.js';
import { routeSpec } from './operator-spec.js';

const CALLERS = 8;
const VERSIONS = 24;

/** Time between two versions, in milliseconds. */
const VERSION_MS = 25;

const SERVICES = ['desk', 'next', 'shard-a', 'shard-b', 'shard-c', 'shard-d'];

const gatherOf = (...shards: readonly string[]): Readonly<Record<string, unknown>> => ({
  gather: shards,
  top_k: 3,
  min_coverage: 0.5,
});

const splitOf = (desk: number, next: number): Readonly<Record<string, unknown>> => ({
  split: [
    { service: 'desk', weight: desk },
    { service: 'next', weight: next },
  ],
});

const WITHOUT_WEIGHT = splitOf(0, 0);

/** Successive targets of one route: the shards of the index change, and weights drop to 0 and rise again. */
const TARGETS: readonly Readonly<Record<string, unknown>>[] = [
  gatherOf('shard-a', 'shard-b'),
  gatherOf('shard-c', 'shard-d'),
  { service: 'desk' },
  splitOf(1, 0),
  splitOf(0, 1),
  WITHOUT_WEIGHT,
  { service: 'next' },
  gatherOf('shard-b', 'shard-c', 'shard-d'),
];

let fixture: GatewayFixture;

beforeEach(async () => {
  fixture = await GatewayFixture.create();
  fixture.configure(routesOf(0), SERVICES);
  for (const service of SERVICES) {
    await fixture.addReplica(`${service}-1`, service, { workMs: 5 });
  }
  await fixture.serve();
  await until(() => fixture.gateway.state.reading.isReading, 'the store is watched');
});

afterEach(async () => {
  await fixture.stop();
});

/** The routes of a version: one with a changing target, one that stays the same, and one in every second version. */
const routesOf = (version: number): readonly unknown[] => [
  routeSpec({ path_prefix: '/one/', ...TARGETS[version % TARGETS.length] }),
  routeSpec({ path_prefix: '/stays/', service: 'desk' }),
  ...(version % 2 === 0 ? [routeSpec({ path_prefix: '/one/two/', service: 'next' })] : []),
];

const sendUntil = async (
  paths: readonly string[],
  isOver: () => boolean,
): Promise<readonly CallerAnswer[]> => {
  const answers: CallerAnswer[] = [];
  while (!isOver()) {
    for (const path of paths) {
      answers.push(await fixture.request({ id: `r-${Math.random()}`, path }));
    }
  }
  return answers;
};

describe('requests on routes that are in every version', () => {
  it('are never answered with a redirection or client error while versions change in quick succession', async () => {
    let isOver = false;
    const paths = ['/one/x', '/one/two/x', '/stays/x'];
    const pendingAnswers = Array.from({ length: CALLERS }, () => sendUntil(paths, () => isOver));
    let version = 0;
    for (let change = 1; change <= VERSIONS; change += 1) {
      version = fixture.configure(routesOf(change), SERVICES);
      await delay(VERSION_MS);
    }
    await fixture.untilInForce(version);
    isOver = true;
    const statuses = new Set(
      (await Promise.all(pendingAnswers)).flat().map(({ status }) => status),
    );
    expect([...statuses].filter((status) => status >= 300 && status < 500)).toEqual([]);
    expect(statuses).toContain(200);
  });

  it('are refused with 503 and a retry time while no part of a split has a weight', async () => {
    await fixture.untilInForce(
      fixture.configure(routesOf(TARGETS.indexOf(WITHOUT_WEIGHT)), SERVICES),
    );
    const answer = await fixture.request({ id: 'r-1', path: '/one/x' });
    expect(answer.status).toBe(503);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
  });
});
