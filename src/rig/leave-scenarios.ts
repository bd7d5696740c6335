/**
 * Scenarios in which a replica leaves while the platform's lists lag, one for each way in which nodes
 * detect it: the published status, refused requests and a closed port. The replica's own record of
 * arrivals is checked.
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
/** How long the load runs before the replica leaves. */
const WAIT_BEFORE_LEAVE_MS = 3 * SECOND_MS;
/** Delay until the platform's lists show that the replica is leaving. */
const LAG_MS = 10 * SECOND_MS;
/** How long arrivals are recorded after the lists are up to date. */
const AFTER_LAG_MS = 3 * SECOND_MS;
/** Time after the first sign from which a leaving replica must receive no new work. */
const NO_WORK_AFTER_MS = 2 * SECOND_MS;
/** How long the replica's port is closed; it reopens before the arrivals are read. */
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

/** Publishes at the platform that the replica is leaving. */
const publishLeaving = async (tier: ProcessTier, { placed }: RigReplica): Promise<void> => {
  const name = encodeURIComponent(`status/${placed.partner}/${placed.service}`);
  const url = `${tier.platformUrl}/v1/objects/${name}`;
  const { body } = await request(url);
  const { content, version } = (await body.json()) as StoreObject;
  if (content.type !== 'status') {
    throw new Error(`${url} is not a status object`);
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

/** Checks the arrivals after the replica began to leave at `leftAt`, on the replica's own clock. */
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

/** Checks the connection attempts while the port was closed, relative to `leftAt` on the rig's clock. */
const checkConnections = (connectedAt: readonly number[], leftAt: number): RigCheck => {
  const times = connectedAt.map((at) => Math.round(at - leftAt));
  const atOnce = times.filter((ms) => ms <= NO_WORK_AFTER_MS).length;
  const listed = times.filter((ms) => ms > LAG_MS + NO_WORK_AFTER_MS / 2).length;
  const between = times.length - atOnce - listed;
  return {
    statement:
      'no node attempts a connection after the platform has published that the replica is leaving',
    holds: listed === 0,
    seen: `${atOnce} attempts within ${NO_WORK_AFTER_MS} ms, ${between} until the publication, ${listed} later`,
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

/** One scenario for each of the three ways in which nodes detect a leaving replica. */
export const LEAVE_SCENARIOS: readonly RigScenario[] = [
  scenario(
    'leave-by-status',
    'the platform publishes that a replica is leaving; the replica still accepts work',
    leaveByStatus,
  ),
  scenario(
    'leave-by-refusal',
    'a replica refuses new work 10 s before the platform publishes that it is leaving',
    leaveByRefusal,
  ),
  scenario(
    'leave-by-closed-port',
    'a replica closes its port 10 s before the platform publishes that it is leaving',
    leaveByClosedPort,
  ),
];
