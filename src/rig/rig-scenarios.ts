/** The rig scenarios, which inject failures into real processes while the load and the edits run. */
import { PAUSE_HOLDER_SCENARIO } from './pause-holder-scenario.js';
import { LEAVE_SCENARIOS } from './leave-scenarios.js';
import { pause, waitUntil } from './pause.js';
import type { ProcessTier, RigNode } from './process-tier.js';
import type { RigCheck } from './rig-report.js';
import type { RigScenario } from './rig-scenario.js';

const POLL_MS = 50;
const RESTART_WITHIN_MS = 20_000;
const SECOND_MS = 1_000;

/** Share of the store's answers that are lost, 0 to 1; high enough for consecutive retries within 10 s. */
const LOST_ANSWER_SHARE = 0.1;

/** Delay of the answers that are not lost, in milliseconds; about five times the usual response time. */
const LOSSY_STORE_DELAY_MS = 20;
/** Time within which all other nodes must consider a killed node dead, in milliseconds. */
const DETECT_DEATH_WITHIN_MS = 5_000;
/** Time within which a node must exit after a planned stop, in milliseconds. */
const STOP_WITHIN_MS = 15_000;

/**
 * Wait between two planned stops, in milliseconds. docs/operations/roll-a-node.md requires it, so that
 * only one keeper of claims is out of service at a time.
 */
const ROLL_PAUSE_MS = 4_000;

const nodeAt = (tier: ProcessTier, index: number): RigNode => {
  const node = tier.nodes[index];
  if (node === undefined) {
    throw new Error(`the tier has no node ${index}`);
  }
  return node;
};

const isKnownDead = async (tier: ProcessTier, dead: RigNode): Promise<boolean> => {
  const others = tier.nodes.filter((node) => node !== dead);
  const views = await Promise.all(others.map((node) => tier.readStatus(node)));
  return views.every((view) => {
    const member = view?.nodes.find(({ node }) => node === dead.name);
    return view !== undefined && (member === undefined || member.state === 'dead');
  });
};

const killNode = async (tier: ProcessTier): Promise<RigCheck[]> => {
  await pause(2 * SECOND_MS);
  const node = nodeAt(tier, 1);
  const killedAt = performance.now();
  node.process.signal('SIGKILL');
  const detected = await waitUntil(
    () => isKnownDead(tier, node),
    2 * DETECT_DEATH_WITHIN_MS,
    POLL_MS,
  );
  const detectedAfterMs = Math.round(performance.now() - killedAt);
  tier.restartNode(node);
  const serves = await tier.waitUntilServing(node, RESTART_WITHIN_MS);
  return [
    {
      statement: `all other nodes consider a killed node dead within ${DETECT_DEATH_WITHIN_MS} ms`,
      holds: detected && detectedAfterMs <= DETECT_DEATH_WITHIN_MS,
      seen: detected ? `${detectedAfterMs} ms` : `not within ${detectedAfterMs} ms`,
    },
    {
      statement: 'the new process at the same address serves',
      holds: serves,
      seen: String(serves),
    },
  ];
};

const pauseNode = async (tier: ProcessTier): Promise<RigCheck[]> => {
  await pause(2 * SECOND_MS);
  const node = nodeAt(tier, 2);
  node.process.signal('SIGSTOP');
  await pause(4 * SECOND_MS);
  node.process.signal('SIGCONT');
  const serves = await tier.waitUntilServing(node, RESTART_WITHIN_MS);
  return [
    { statement: 'the node serves again after it resumed', holds: serves, seen: String(serves) },
  ];
};

const stopAndRestart = async (tier: ProcessTier, node: RigNode): Promise<RigCheck> => {
  node.process.signal('SIGTERM');
  const ended = await waitUntil(async () => !node.process.runs, STOP_WITHIN_MS, POLL_MS);
  const code = ended ? (await node.process.waitForExit()).code : null;
  tier.restartNode(node);
  const serves = await tier.waitUntilServing(node, RESTART_WITHIN_MS);
  return {
    statement: `${node.name} stops with exit code 0 and its new process serves`,
    holds: code === 0 && serves,
    seen: `exit code ${code}, new process serves: ${serves}`,
  };
};

const stopEachNode = async (tier: ProcessTier): Promise<RigCheck[]> => {
  const checks: RigCheck[] = [];
  for (const node of tier.nodes) {
    await pause(ROLL_PAUSE_MS);
    checks.push(await stopAndRestart(tier, node));
  }
  return checks;
};

const storeDown = async (tier: ProcessTier): Promise<RigCheck[]> => {
  await pause(2 * SECOND_MS);
  await tier.setPlatformFaults({ down: true });
  await pause(8 * SECOND_MS);
  await tier.setPlatformFaults({ down: false });
  return [];
};

const pausePlatform = async (tier: ProcessTier): Promise<RigCheck[]> => {
  await pause(2 * SECOND_MS);
  tier.platform.signal('SIGSTOP');
  await pause(8 * SECOND_MS);
  tier.platform.signal('SIGCONT');
  return [];
};

const loseAnswers = async (tier: ProcessTier): Promise<RigCheck[]> => {
  await tier.setPlatformFaults({
    loseAnswerShare: LOST_ANSWER_SHARE,
    delayMs: LOSSY_STORE_DELAY_MS,
  });
  await pause(10 * SECOND_MS);
  await tier.setPlatformFaults({ loseAnswerShare: 0, delayMs: 0 });
  return [];
};

const freezeReplica = async (tier: ProcessTier): Promise<RigCheck[]> => {
  await pause(2 * SECOND_MS);
  const url = tier.replicaUrls[0] ?? '';
  await tier.setReplicaFaults(url, { frozen: true });
  await pause(5 * SECOND_MS);
  await tier.setReplicaFaults(url, { frozen: false });
  return [];
};

const killNodeWhileStoreIsDown = async (tier: ProcessTier): Promise<RigCheck[]> => {
  await pause(2 * SECOND_MS);
  await tier.setPlatformFaults({ down: true });
  const node = nodeAt(tier, 0);
  node.process.signal('SIGKILL');
  await pause(SECOND_MS);
  tier.restartNode(node);
  const serves = await tier.waitUntilServing(node, RESTART_WITHIN_MS);
  await tier.setPlatformFaults({ down: false });
  return [
    {
      statement: 'a restarted node gets the configuration from its peers while the store is down',
      holds: serves,
      seen: String(serves),
    },
  ];
};

const nothing = async (): Promise<RigCheck[]> => [];

/** All scenarios, in execution order. */
export const RIG_SCENARIOS: readonly RigScenario[] = [
  {
    name: 'healthy',
    summary: 'nothing fails',
    requiresAllAnswered: true,
    seconds: 8,
    run: nothing,
  },
  {
    name: 'kill-node',
    summary: 'a node is killed and restarted at the same address',
    requiresAllAnswered: false,
    seconds: 14,
    run: killNode,
  },
  {
    name: 'freeze-node',
    summary: 'a node is paused for 4 s and resumes',
    requiresAllAnswered: false,
    seconds: 14,
    run: pauseNode,
  },
  {
    name: 'stop-each-node',
    summary: 'each node in turn is stopped as planned and restarted',
    requiresAllAnswered: true,
    seconds: 50,
    run: stopEachNode,
  },
  {
    name: 'store-down',
    summary: 'the store is down for 8 s',
    requiresAllAnswered: true,
    seconds: 14,
    run: storeDown,
  },
  {
    name: 'freeze-store',
    summary: 'the store is paused for 8 s',
    requiresAllAnswered: true,
    seconds: 14,
    run: pausePlatform,
  },
  {
    name: 'lose-answers',
    summary: 'the store loses 1 answer in 10 after the write took effect',
    requiresAllAnswered: true,
    seconds: 12,
    run: loseAnswers,
  },
  {
    name: 'freeze-replica',
    summary: 'a replica accepts requests and answers none for 5 s',
    requiresAllAnswered: false,
    seconds: 10,
    run: freezeReplica,
  },
  {
    name: 'kill-node-store-down',
    summary: 'a node is killed and restarted while the store is down',
    requiresAllAnswered: false,
    seconds: 12,
    run: killNodeWhileStoreIsDown,
  },
  ...LEAVE_SCENARIOS,
  PAUSE_HOLDER_SCENARIO,
];
