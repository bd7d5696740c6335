/** Requests that rested connections bring while their gateway stops as planned. */
import { Buffer } from 'node:buffer';
import { dirname } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { ask, openClient } from '../common/ask.mjs';
import { BOUNDS, CannotRun, runCase } from '../common/world.mjs';

/** Work of a request: at most 1,300 ms in the site file. */
const WORK_MS = 1_200;

const CONFIGURATION = {
  version: 7,
  routes: [
    {
      name: 'r-booking',
      host: 'booking.example',
      path_prefix: '/book/',
      kind: 'unsafe',
      timeout_ms: 15_000,
      target_ms: 2_000,
      priority: 1,
      service: 'ledger',
      max_attempts: 2,
    },
  ],
  services: [{ name: 'ledger', health_path: '/health', max_conns: 110 }],
};

const CLIENTS = 12;
const INTERVAL_MS = 450;

/** How long the connections rest before the stop; with the intervals, at most four fifths of the idle time-out. */
const REST_MS = 5_500;

/** The rule excuses requests sent no later than this after the SIGTERM whose replicas still work near the end. */
const EXCUSED_UNTIL_MS = 3_000;

await runCase(dirname(fileURLToPath(import.meta.url)), {}, async (world, hasTrouble) => {
  world.configure(CONFIGURATION);
  const begun = new Set();
  for (let index = 0; index < 6; index += 1) {
    await world.addReplica({
      service: 'ledger',
      slots: 3,
      queue: 12,
      work: () => ({ workMs: WORK_MS, body: Buffer.alloc(3_000, 'x') }),
      onRun: (replica, id) => {
        begun.add(id);
        world.record(`${id} runs at ${replica.id}`);
      },
    });
  }
  await world.startGateways(3);
  await pause(6_000);
  const [gateway] = world.gateways;
  const requestOf = (id) => ({
    method: 'POST',
    host: 'booking.example',
    path: `/book/${id}`,
    id,
    budgetMs: 15_000,
  });
  const clients = await Promise.all(Array.from({ length: CLIENTS }, () => openClient(gateway)));
  const first = await Promise.all(
    clients.map((client, index) => ask(world, client, requestOf(`first-${index}`))),
  );
  if (first.some(({ outcome }) => outcome.status !== 200)) {
    throw new CannotRun('a request was not served before the stop');
  }
  await pause(REST_MS);
  const stoppedAt = world.now;
  if (hasTrouble) {
    gateway.stopAsPlanned();
  }
  const asked = [];
  for (const [index, client] of clients.entries()) {
    if (client.isClosed) {
      world.record(`connection ${index} was closed while it rested`);
    } else {
      asked.push(ask(world, client, requestOf(`second-${index}`)));
    }
    await pause(INTERVAL_MS);
  }
  const results = await Promise.all(asked);
  const countedUntil = stoppedAt + BOUNDS.grace_s * 1_000 + 1_000;
  const lost = results.filter(
    ({ id, sentAt, outcome }) =>
      outcome.type === 'cut' &&
      begun.has(id) &&
      sentAt > stoppedAt + EXCUSED_UNTIL_MS &&
      sentAt < countedUntil,
  );
  world.record(
    `begun by a replica and cut without an answer: ${lost.map(({ id }) => id).join(', ')}`,
  );
  return lost.length > 0;
});
