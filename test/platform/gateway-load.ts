/** Sends gathers to a gateway at a fixed rate, to measure the cost of a leg. Not a test. */
import { setTimeout as delay } from 'node:timers/promises';
import { GatewayFixture } from './gateway-fixture.js';
import { routeSpec } from './operator-spec.js';
import { settingsFileOf } from './settings-file.js';

const SHARDS = 20;
const RATE_PER_S = 14;

const run = async (seconds: number): Promise<void> => {
  const fixture = await GatewayFixture.create();
  const services = Array.from({ length: SHARDS }, (_, index) => `shard-${index}`);
  fixture.configure(
    [routeSpec({ path_prefix: '/all/', gather: services, top_k: 50, min_coverage: 0.9 })],
    services,
  );
  for (const service of services) {
    for (const zone of ['bole', 'arada']) {
      await fixture.addReplica(`${service}-${zone}`, service, { workMs: 5 }, zone);
    }
  }
  process.stdout.write(`${settingsFileOf(fixture.settings)}\n`);
  const total = seconds * RATE_PER_S;
  const elapsed: number[] = [];
  await delay(3_000);
  for (let index = 0; index < total; index += 1) {
    void fixture.request({ id: `r-${index}`, path: '/all/x' }).then(
      (answer) => elapsed.push(answer.elapsedMs),
      () => undefined,
    );
    await delay(1_000 / RATE_PER_S);
  }
  elapsed.sort((left, right) => left - right);
  process.stderr.write(
    `p50 ${elapsed[Math.floor(elapsed.length / 2)]} p99 ${elapsed[Math.floor(elapsed.length * 0.99)]}\n`,
  );
};

await run(Number(process.argv[2] ?? '20'));
process.exit(0);
