/**
 * Scenarios in which a replica leaves while the platform's lists lag, one for each sign by which it
 * can be known. They are judged by the replica's own record of what arrived.
 */
import { request } from 'undici';
import type { StoreObject } from '../catalog/store-object.js';
import type { ArrivalsBody } from '../standins/arrival-log.js';
import { ClosedPortWatch } from './closed-port-watch.js';
import { pause } from './pause.js';
import type { ProcessTier, RigReplica } from './process-tier.js';
import type { RigCheck } from './rig-report.js';
import type { RigScenario } from './rig-scenario.js';

const SECOND_MS = 1_000;
/** The load runs for so long before the replica leaves. */
const WAIT_BEFORE_LEAVE_MS = 3 * SECOND_MS;
/** How late the platform's lists show that the replica leaves. */
const LAG_MS = 10 * SECOND_MS;
/** How long arrivals are watched after the lists have caught up. */
const AFTER_LAG_MS = 3 * SECOND_MS;
/** How soon after the first sign a replica gets no new work. */
const NO_WORK_AFTER_MS = 2 * SECOND_MS;
/** For so long a replica's port is closed; it is open again before its records are read. */
const PORT_CLOSED_MS = LAG_MS + 2 * SECOND_MS;
const LOAD_SECONDS = (WAIT_BEFORE_LEAVE_MS + LAG_MS + AFTER_LAG_MS + SECOND_MS) / SECOND_MS;
const GROUP = 'booking-desk';

const findReplica = (tier: ProcessTier): RigReplica => {
  const found = tier.replicas.find(({ placed }) => placed.group.name === GROUP);
  if (found === undefined) {
    throw new Error(`the tier has no replica of ${GROUP}`);
  }
  return found;
};

const readArrivals = async ({ url }: RigReplica): Promise<ArrivalsBody> => {
  const { body } = await request(`${url}/v1/arrivals`);
  return (await body.json()) as ArrivalsBody;
};

/** The platform publishes that the replica leaves. */
const publishLeaving = async (tier: ProcessTier, { placed }: RigReplica): Promise<void> => {
  const name = encodeURIComponent(`status/${placed.partner}/${placed.service}`);
  const url = `${tier.platformUrl}/v1/objects/${name}`;
  const { body } = await request(url);
  const { content, version } = (await body.json()) as StoreObject;
  if (content.type !== 'status') {
    throw new Error(`${url} is no status`);
  }
  const replicas = content.status.replicas.map((each) =>
    each.replica === placed.replica ? { ...each, lifecycle: 'leaving' as const } : each,
  );
  const answer = await request(url, {
    method: 'PUT',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({
      expectedVersion: version,
      content: { ...content, status: { ...content.status, replicas } },
    }),
  });
  await answer.body.dump();
  if (answer.statusCode !== 200) {
    throw new Error(`${url} answered ${answer.statusCode}`);
  }
};

/** What has arrived since the replica began to leave at `leftAt` of its own clock. */
const checkArrivals = ({ arrivals }: ArrivalsBody, leftAt: number): RigCheck[] => {
  const before = arrivals.filter((at) => at < leftAt).length;
  const after = arrivals.filter((at) => at >= leftAt).map((at) => Math.round(at - leftAt));
  const late = after.filter((ms) => ms > NO_WORK_AFTER_MS);
  return [
    {
      statement: `no new work arrives more than ${NO_WORK_AFTER_MS} ms after the replica began to leave`,
      holds: late.length === 0 && before > 0,
      seen: `${before} arrivals before, ${after.length} after, the last ${after.at(-1) ?? 0} ms after; ${late.length} too late`,
    },
  ];
};

const leaveByStatus = async (tier: ProcessTier): Promise<RigCheck[]> => {
  const replica = findReplica(tier);
  await tier.setPlatformFaults({ machineListLagMs: LAG_MS });
  await pause(WAIT_BEFORE_LEAVE_MS);
  const { now } = await readArrivals(replica);
  await publishLeaving(tier, replica);
  await pause(LAG_MS + AFTER_LAG_MS);
  return checkArrivals(await readArrivals(replica), now);
};

const leaveByRefusal = async (tier: ProcessTier): Promise<RigCheck[]> => {
  const replica = findReplica(tier);
  await tier.setPlatformFaults({ machineListLagMs: LAG_MS });
  await pause(WAIT_BEFORE_LEAVE_MS);
  const { now } = await readArrivals(replica);
  await tier.setReplicaFaults(replica.url, { lifecycle: 'leaving' });
  await pause(LAG_MS);
  await publishLeaving(tier, replica);
  await pause(AFTER_LAG_MS);
  return checkArrivals(await readArrivals(replica), now);
};

/** Connections tried while the port was closed, counted from `leftAt` of the rig's clock. */
const checkConnections = (triedAt: readonly number[], leftAt: number): RigCheck => {
  const times = triedAt.map((at) => Math.round(at - leftAt));
  const atOnce = times.filter((ms) => ms <= NO_WORK_AFTER_MS).length;
  const listed = times.filter((ms) => ms > LAG_MS + NO_WORK_AFTER_MS / 2).length;
  const between = times.length - atOnce - listed;
  return {
    statement: 'no connection is tried once the platform has published that the replica leaves',
    holds: listed === 0,
    seen: `${atOnce} tries within ${NO_WORK_AFTER_MS} ms, ${between} until it was published, ${listed} later`,
  };
};

const leaveByClosedPort = async (tier: ProcessTier): Promise<RigCheck[]> => {
  const replica = findReplica(tier);
  await tier.setPlatformFaults({ machineListLagMs: LAG_MS });
  await pause(WAIT_BEFORE_LEAVE_MS);
  const { now } = await readArrivals(replica);
  const leftAt = performance.now();
  await tier.setReplicaFaults(replica.url, { closePortMs: PORT_CLOSED_MS });
  const watch = new ClosedPortWatch();
  await watch.begin(replica.port);
  await pause(LAG_MS);
  await publishLeaving(tier, replica);
  await pause((PORT_CLOSED_MS - LAG_MS) * 0.75);
  await watch.end();
  await pause(AFTER_LAG_MS - SECOND_MS);
  const arrivals = checkArrivals(await readArrivals(replica), now);
  return [...arrivals, checkConnections(watch.connectedAt, leftAt)];
};

const scenario = (name: string, summary: string, run: RigScenario['run']): RigScenario => ({
  name,
  summary,
  requiresAllAnswered: true,
  seconds: LOAD_SECONDS,
  run,
});

/** A replica leaves, known by each of the three signs. */
export const LEAVE_SCENARIOS: readonly RigScenario[] = [
  scenario(
    'leave-by-status',
    'a replica is published to leave, and goes on to take work',
    leaveByStatus,
  ),
  scenario(
    'leave-by-refusal',
    'a replica refuses new work 10 s before the platform publishes that it leaves',
    leaveByRefusal,
  ),
  scenario(
    'leave-by-closed-port',
    'a replica takes no connections 10 s before the platform publishes that it leaves',
    leaveByClosedPort,
  ),
];
