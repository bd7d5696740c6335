/**
 * A node that holds the limit of a row is paused for longer than its lease and its grants last, and
 * resumes. With one node in each zone, the node is also the feeder of all replicas of its zone and its
 * reader of the store. The names of the nodes determine which one holds the limit.
 */
import { randomUUID } from 'node:crypto';
import { getTable, postEdit } from '../cli/operator/operator-client.js';
import { GRANT_MS, LEASE_MS } from '../core/admission/limit-timing.js';
import { rowNameOf } from '../core/admission/limit-use.js';
import { hash32 } from '../core/hash.js';
import { identifier, type EditId } from '../core/identifiers.js';
import { demoSecret } from '../deployments/demo-keys.js';
import { ENSEMBLE } from '../deployments/ensemble.js';
import type { RunResult } from '../load/run-result.js';
import type { RouteRow } from '../table/route-row.js';
import { pause, waitUntil } from './pause.js';
import type { ProcessTier, RigNode } from './process-tier.js';
import type { RigCheck } from './rig-report.js';
import type { RigScenario } from './rig-scenario.js';

const SECOND_MS = 1_000;
const POLL_MS = 50;
const ROUTE = 'season-roster';
/** About half of the load's query rate for the row. */
const PER_SECOND_LIMIT = 4;
/** Time for the holder to issue grants before it is paused. */
const WAIT_BEFORE_PAUSE_MS = 3 * SECOND_MS;
const PAUSE_MS = GRANT_MS + LEASE_MS;
const SERVES_WITHIN_MS = 20 * SECOND_MS;
/** Time within which a resumed node has the configuration of the others in force. */
const CURRENT_WITHIN_MS = 3 * SECOND_MS;
const LOAD_SECONDS = 20;
/** Minimum share of its limit that the row gets, so that a limit that starves the row fails the check. */
const MIN_SHARE = 0.5;

const findLimitedRow = (): RouteRow => {
  const row = ENSEMBLE.rows.find(({ route }) => route === ROUTE);
  if (row === undefined) {
    throw new Error(`the deployment has no route ${ROUTE}`);
  }
  return row;
};

/** Sets the limit of the row before the load begins. */
const limitRow = async (tier: ProcessTier): Promise<void> => {
  const node = tier.nodes[0];
  const target = {
    url: node === undefined ? '' : tier.operatorUrl(node),
    secret: demoSecret(ENSEMBLE.partner, 'operator'),
  };
  const table = (await getTable(target)).toMaybe().extract();
  const sheet = table?.sheets.find(({ partner }) => partner === ENSEMBLE.partner);
  const currentRow = sheet?.rows.find(({ row }) => row.route === ROUTE);
  if (sheet === undefined || currentRow === undefined) {
    throw new Error(`the table has no route ${ROUTE}`);
  }
  const row = { ...currentRow.row, perSecondLimit: PER_SECOND_LIMIT };
  const answer = await postEdit(target, {
    edit: identifier<EditId>(randomUUID()),
    reason: 'limit the row before the load',
    seenVersion: sheet.version,
    action: {
      type: 'change-rows',
      changes: [{ type: 'set', row, basedOn: currentRow.rowVersion }],
    },
  });
  if (answer.toMaybe().extract()?.type !== 'accepted') {
    throw new Error('the edit that sets the limit was not accepted');
  }
  await pause(WAIT_BEFORE_PAUSE_MS);
};

/** Returns the first node by rendezvous hashing: the holder of the row's limit while all nodes are live. */
const findHolder = (tier: ProcessTier): RigNode => {
  const subject = `limit|${rowNameOf(findLimitedRow())}`;
  const weightOf = ({ name }: RigNode): number => hash32(`${name}|${subject}`);
  const [holder] = [...tier.nodes].sort((one, other) => weightOf(other) - weightOf(one));
  if (holder === undefined) {
    throw new Error('the tier has no node');
  }
  return holder;
};

const readRevision = async (tier: ProcessTier, node: RigNode): Promise<number> =>
  (await tier.readStatus(node))?.revision ?? 0;

/** Reads the highest revision in force at the nodes other than `paused`. */
const readHighestRevision = async (tier: ProcessTier, paused: RigNode): Promise<number> => {
  const others = tier.nodes.filter((node) => node !== paused);
  return Math.max(...(await Promise.all(others.map((node) => readRevision(tier, node)))));
};

const pauseHolder = async (tier: ProcessTier): Promise<RigCheck[]> => {
  await pause(WAIT_BEFORE_PAUSE_MS);
  const node = findHolder(tier);
  node.process.signal('SIGSTOP');
  await pause(PAUSE_MS);
  const wanted = await readHighestRevision(tier, node);
  const resumedAt = performance.now();
  node.process.signal('SIGCONT');
  const isUpToDate = async (): Promise<boolean> => (await readRevision(tier, node)) >= wanted;
  const upToDate = await waitUntil(isUpToDate, CURRENT_WITHIN_MS, POLL_MS);
  const tookMs = Math.round(performance.now() - resumedAt);
  const serves = await tier.waitUntilServing(node, SERVES_WITHIN_MS);
  return [
    {
      statement: `the node has the configuration of the others in force within ${CURRENT_WITHIN_MS} ms after it resumed`,
      holds: upToDate,
      seen: `${node.name}, revision ${wanted} after ${tookMs} ms`,
    },
    { statement: 'the node serves again after it resumed', holds: serves, seen: String(serves) },
  ];
};

/** Checks the limit over all nodes together; each node may let one further query pass as a burst. */
const checkLimit = (tier: ProcessTier, load: RunResult): RigCheck[] => {
  const row = load.kinds.find(({ route }) => route === ROUTE);
  const allowed = PER_SECOND_LIMIT * LOAD_SECONDS + tier.nodes.length;
  const minimum = PER_SECOND_LIMIT * LOAD_SECONDS * MIN_SHARE;
  const passed = row === undefined ? 0 : row.answered + row.unknown + row.failed;
  return [
    {
      statement: `all nodes together pass ${PER_SECOND_LIMIT} queries per second of the limited row and no more`,
      holds: row !== undefined && row.answered <= allowed && row.answered >= minimum,
      seen: `${row?.answered} answered of ${row?.calls} in ${LOAD_SECONDS} s, at most ${allowed} allowed; ${passed} including unknown and failed ones`,
    },
  ];
};

/** The scenario. */
export const PAUSE_HOLDER_SCENARIO: RigScenario = {
  name: 'pause-holder',
  summary: `a node that is limit holder, feeder and reader is paused for ${PAUSE_MS / SECOND_MS} s and resumes`,
  requiresAllAnswered: false,
  seconds: LOAD_SECONDS,
  prepare: limitRow,
  run: pauseHolder,
  checkLoad: checkLimit,
};
