/* global URL */
/**
 * A gateway joins, its process is killed soon after, and is started again. The new process takes over the quota of a tenant at
 * once, while the previous keeper waits for 4 s before it yields: for that time both grant the whole quota.
 */
import { fileURLToPath } from 'node:url';
import { setTimeout as pause } from 'node:timers/promises';
import { QUOTA_BOUNDS as bounds, TenantRuns } from '../common-2/quota.mjs';
import { hasTrouble, runCase } from '../common-2/world.mjs';

/** The keeper of this tenant's quota is front-a-1, and front-b-3 once that has joined. */
const TENANT = { name: 'greenhouse', api_keys: ['key-1'], priority: 1, rate_per_s: 60, burst: 60 };

/** The tenant sends 3 times its usual 50 requests a second for 6 s, from before the join on. */
const HOT_FOR_MS = 6_000;
const HOT_PER_SECOND_AND_GATEWAY = 90;

const JOIN_AFTER_MS = 12_000;
const HOT_BEFORE_JOIN_MS = 500;
const KILL_AFTER_MS = 300;
const RESTART_AFTER_MS = 300;

const play = async (world) => {
  const runs = new TenantRuns(world, TENANT);
  await runs.prepare();
  const first = await world.addGateway('a', { bounds });
  const second = await world.addGateway('b', { bounds });
  await world.startAll([first, second]);
  await pause(JOIN_AFTER_MS);
  world.note('the tenant turns hot');
  const viaFirst = runs.sendVia(first, HOT_PER_SECOND_AND_GATEWAY, HOT_FOR_MS);
  await pause(HOT_BEFORE_JOIN_MS);
  const third = await world.addGateway('b', { bounds, firstStart: false });
  await world.startAll([third]);
  await pause(KILL_AFTER_MS);
  if (hasTrouble) {
    await third.kill();
    world.note(`killed ${third.node}`);
    await pause(RESTART_AFTER_MS);
    await world.startAll([third]);
  }
  await Promise.all([
    viaFirst,
    runs.sendVia(third, HOT_PER_SECOND_AND_GATEWAY, HOT_FOR_MS - HOT_BEFORE_JOIN_MS - 1_000),
  ]);
  return runs.violations();
};

await runCase(play, fileURLToPath(new URL('record.txt', import.meta.url)));
