/* global URL */
/**
 * One connection of a gateway to the store goes silent: that of its watch of the list of gateways. Another gateway, which has
 * just joined, takes over the quota of a tenant. The first one does not learn of it for up to 26 s, and both grant the whole
 * quota.
 */
import { fileURLToPath } from 'node:url';
import { setTimeout as pause } from 'node:timers/promises';
import { QUOTA_BOUNDS as bounds, TenantRuns } from '../common-2/quota.mjs';
import { hasTrouble, runCase } from '../common-2/world.mjs';

/** The keeper of this tenant's quota is front-a-1, and front-b-3 once that has joined. */
const TENANT = { name: 'greenhouse', api_keys: ['key-1'], priority: 1, rate_per_s: 13, burst: 13 };

/** The tenant sends 7 times its usual 11 requests a second, for 6.5 s; half of them in each zone. */
const HOT_FOR_MS = 6_500;
const HOT_PER_SECOND_AND_ZONE = 38;

/** The first gateways have been up for this long when another one joins, and the tenant turns hot this long after that. */
const JOIN_AFTER_MS = 12_000;
const HOT_AFTER_MS = 12_000;

const play = async (world) => {
  const runs = new TenantRuns(world, TENANT);
  await runs.prepare();
  const portOfFirst = await world.store.openPort();
  const store = `127.0.0.1:${portOfFirst}`;
  const first = await world.addGateway('a', { bounds, store });
  const second = await world.addGateway('b', { bounds });
  await world.startAll([first, second]);
  await pause(JOIN_AFTER_MS);
  if (hasTrouble) {
    world.store.loseAnswer(
      portOfFirst,
      (kind, query) => kind === 'gateways' && query.has('watch'),
      () => world.note(`the connection on which ${first.node} watches the gateways went silent`),
    );
  }
  const third = await world.addGateway('b', { bounds, firstStart: false });
  await world.startAll([third]);
  await pause(HOT_AFTER_MS);
  world.note('the tenant turns hot');
  await Promise.all([
    runs.sendVia(first, HOT_PER_SECOND_AND_ZONE, HOT_FOR_MS),
    runs.sendVia(second, HOT_PER_SECOND_AND_ZONE / 2, HOT_FOR_MS),
    runs.sendVia(third, HOT_PER_SECOND_AND_ZONE / 2, HOT_FOR_MS),
  ]);
  return runs.violations();
};

await runCase(play, fileURLToPath(new URL('record.txt', import.meta.url)));
