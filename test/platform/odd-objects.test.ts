/** Gateways as processes beside objects of the store that another writer left. */
import { setTimeout as delay } from 'node:timers/promises';
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';
import type { HostPort } from '../../src/settings/node-settings.js';
import { type CompiledSource, bundlePlatform } from '../runtime/compiled-source.js';
import { freeAddress, GatewayFixture } from './gateway-fixture.js';
import { GatewayProcess } from './gateway-process.js';
import { ODD_OBJECTS, type OddObject } from './odd-objects.js';
import { routeSpec } from './operator-spec.js';

/** Time in which gateways read what was written, in milliseconds. */
const READ_MS = 1_500;

const REQUESTS = 16;

/** Time in which a configuration that was written comes into force, in milliseconds, and the pause between two polls. */
const IN_FORCE_MS = 6_000;
const POLL_MS = 100;

/** Characters that a gateway may log about what the store has. */
const MAX_OUTPUT = 32_768;

let source: CompiledSource;
let fixture: GatewayFixture;
const gateways: GatewayProcess[] = [];

beforeAll(async () => {
  source = await bundlePlatform();
});

afterAll(async () => {
  await source.remove();
});

afterEach(async () => {
  await Promise.all(gateways.splice(0).map((gateway) => gateway.kill()));
  await fixture.stop();
});

const startGateway = async (node: string): Promise<GatewayProcess> => {
  const gateway = await GatewayProcess.start(source.main, {
    ...fixture.settings,
    node,
    logLevel: 'info',
    callers: await freeAddress(),
    readiness: await freeAddress(),
    metrics: await freeAddress(),
    peers: await freeAddress(),
  });
  gateways.push(gateway);
  return gateway;
};

/** Writes objects that a watch returns in one answer. */
const writeTogether = (objects: readonly OddObject[]): void => {
  fixture.store.muteWatches(true);
  objects.forEach(({ kind, name, spec }) => fixture.store.put(kind, name, spec));
  fixture.store.muteWatches(false);
};

/**
 * Starts two gateways with two replicas; odd objects are written between the starts. The first
 * gateway reads them with a watch and the second with lists.
 */
const startTier = async (objects: readonly OddObject[]): Promise<void> => {
  fixture = await GatewayFixture.create();
  fixture.configure([routeSpec({ path_prefix: '/one/', service: 'desk' })], ['desk']);
  await fixture.addReplica('desk-1', 'desk');
  await fixture.addReplica('desk-2', 'desk');
  const first = await startGateway('front-1');
  await first.untilLogged('reading-changed');
  writeTogether(objects);
  await delay(READ_MS);
  await startGateway('front-2');
  await delay(READ_MS);
};

let sent = 0;

const statusOf = async (to: HostPort, path: string): Promise<number> => {
  sent += 1;
  const answer = fixture.request({ id: `r-${sent}`, path, to });
  return answer.then(({ status }) => status).catch(() => 0);
};

const sendAll = async (to: HostPort): Promise<readonly number[]> => {
  const statuses: number[] = [];
  for (let index = 0; index < REQUESTS; index += 1) {
    statuses.push(await statusOf(to, '/one/'));
  }
  return statuses;
};

/** Whether a gateway serves a path before the time for a configuration is over. */
const servesSoon = async (to: HostPort, path: string): Promise<boolean> => {
  for (let waitedMs = 0; waitedMs < IN_FORCE_MS; waitedMs += POLL_MS) {
    if ((await statusOf(to, path)) === 200) {
      return true;
    }
    await delay(POLL_MS);
  }
  return false;
};

const storeLinesOf = ({ output }: GatewayProcess): string =>
  output
    .split('\n')
    .filter((line) => line.includes('"part":"store"'))
    .join('\n');

/** Writes a later configuration, in which a further path is served. */
const configureLater = (): void => {
  const routes = ['/one/', '/two/'].map((prefix) =>
    routeSpec({ path_prefix: prefix, service: 'desk' }),
  );
  fixture.configure([], []);
  fixture.configure(routes, ['desk']);
};

describe('gateways beside odd objects of the store', () => {
  it.each(Object.entries(ODD_OBJECTS))(
    'serve all requests and follow what is written later: %s',
    async (_name, create) => {
      await startTier(create());
      const statuses = await Promise.all(gateways.map(({ settings }) => sendAll(settings.callers)));
      configureLater();
      const followed = await Promise.all(
        gateways.map(({ settings }) => servesSoon(settings.callers, '/two/')),
      );
      const problems = {
        ended: gateways.filter(({ hasEnded }) => hasEnded).length,
        notServed: statuses.flat().filter((status) => status !== 200).length,
        notFollowed: followed.filter((isFollowed) => !isFollowed).length,
        logsTooMuch: gateways.filter((gateway) => storeLinesOf(gateway).length > MAX_OUTPUT).length,
      };
      expect(problems).toEqual({ ended: 0, notServed: 0, notFollowed: 0, logsTooMuch: 0 });
    },
  );
});
