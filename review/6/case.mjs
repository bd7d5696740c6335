/* global URL */
/**
 * A machine joins. About two seconds later its reader of the store gets no answer to one probe. From then on the machine is
 * first for the quota of a tenant, but it never keeps it: the tenant, which stays within its limit, is refused for good.
 */
import { fileURLToPath } from 'node:url';
import { setTimeout as pause } from 'node:timers/promises';
import { QUOTA_BOUNDS as bounds, TenantRuns } from '../common-2/quota.mjs';
import { hasTrouble, runCase } from '../common-2/world.mjs';

const LIMIT = { priority: 1, rate_per_s: 60, burst: 60 };

/** The keeper of this tenant's quota is front-a-1, and front-b-3 once that has joined. */
const TENANT = { name: 'greenhouse', api_keys: ['key-1'], ...LIMIT };

/** Tenants with other keepers, for comparison. */
const OTHERS = ['cedro', 'roble', 'rosales'].map((name, index) => ({
  name,
  api_keys: [`key-${index + 2}`],
  ...LIMIT,
}));

const JOIN_AFTER_MS = 12_000;
const SILENT_AFTER_MS = 500;
const SETTLE_MS = 20_000;
const MEASURE_MS = 10_000;

/** Each tenant sends 40 requests a second, two thirds of its limit. */
const PER_SECOND_AND_GATEWAY = 20;

const MIN_SHARE_OF_ALL = 0.25;

const play = async (world) => {
  const runs = new TenantRuns(world, TENANT);
  await runs.prepare(OTHERS);
  const first = await world.addGateway('a', { bounds });
  const portOfReader = await world.store.openPort();
  const store = `127.0.0.1:${portOfReader}`;
  const reader = await world.addGateway('b', { bounds, store });
  await world.startAll([first, reader]);
  await pause(JOIN_AFTER_MS);
  const joined = await world.addGateway('b', { bounds, firstStart: false });
  joined.start();
  await pause(SILENT_AFTER_MS);
  if (hasTrouble) {
    world.store.loseAnswer(
      portOfReader,
      (kind, query) => kind === 'config' && !query.has('watch'),
      () => world.note(`the connection on which ${reader.node} probes the store went silent`),
    );
  }
  await joined.untilReady();
  await pause(SETTLE_MS);
  world.note('measured from here on');
  await Promise.all(
    [TENANT, ...OTHERS].flatMap((tenant) =>
      [first, reader].map((gateway) =>
        runs.sendVia(gateway, PER_SECOND_AND_GATEWAY, MEASURE_MS, tenant),
      ),
    ),
  );
  const percent = (share) => `${(100 * share).toFixed(1)}%`;
  OTHERS.forEach((tenant) => world.note(`${tenant.name}: ${percent(runs.servedShare(tenant))}`));
  const [share, ofAll] = [runs.servedShare(TENANT), runs.servedShare()];
  const summary = `${TENANT.name}: ${percent(share)} served, ${percent(ofAll)} of all requests`;
  world.note(summary);
  return share < ofAll * MIN_SHARE_OF_ALL ? [summary] : [];
};

await runCase(play, fileURLToPath(new URL('record.txt', import.meta.url)));
