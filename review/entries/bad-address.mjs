/**
 * Evidence for the entry of issue 37, no case: an entry of a replica whose address has a port above 65535, as another writer
 * may leave it, ends every gateway that selects the replica. Ends with 1 if a gateway ended by itself.
 */
import { Buffer } from 'node:buffer';
import { dirname } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { ask, openClient } from '../common/ask.mjs';
import { runCase } from '../common/world.mjs';

const CONFIGURATION = {
  version: 7,
  routes: [
    {
      name: 'r-account',
      host: 'ledger.example',
      path_prefix: '/account/',
      kind: 'safe',
      timeout_ms: 15_000,
      target_ms: 1_003,
      priority: 2,
      service: 'ledger',
      max_attempts: 2,
    },
  ],
  services: [{ name: 'ledger', health_path: '/health', max_conns: 110 }],
};

const REQUESTS = 12;
const ENTRY = {
  service: 'ledger',
  address: '127.0.0.1:70000',
  zone: 'swansea-hall',
  version: 'v1',
  slots: 3,
  state: 'ready',
  cold_left_ms: 0,
  seq: 1,
};

await runCase(dirname(fileURLToPath(import.meta.url)), {}, async (world, hasTrouble) => {
  world.configure(CONFIGURATION);
  for (let index = 0; index < 3; index += 1) {
    await world.addReplica({
      service: 'ledger',
      slots: 3,
      queue: 12,
      work: () => ({ workMs: 50, body: Buffer.alloc(3_000, 'x') }),
    });
  }
  await world.startGateways(3);
  await pause(6_000);
  if (hasTrouble) {
    world.store.put('servers', 'i-other', ENTRY);
    world.record('an entry with port 70000 is written');
    await pause(3_000);
  }
  for (let index = 0; index < REQUESTS; index += 1) {
    const gateway = world.gateways[index % world.gateways.length];
    if (gateway.process.exitCode === null) {
      const client = await openClient(gateway);
      const id = `q-${index}`;
      const path = `/account/${id}`;
      await ask(world, client, { host: 'ledger.example', path, id, budgetMs: 15_000 });
      client.socket.destroy();
    }
  }
  const ended = world.gateways.filter(({ process }) => process.exitCode !== null);
  world.record(`${ended.length} of ${world.gateways.length} gateways ended by themselves`);
  return ended.length > 0;
});
