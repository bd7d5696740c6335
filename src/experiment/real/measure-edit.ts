/** Sends an operator's edit to a node and measures the time until it is in force at every node. */
import { request } from 'undici';
import type { LocalTier } from '../../demo/local-tier.js';
import { demoSecret } from '../../deployments/demo-keys.js';
import type { Deployment } from '../../deployments/deployment.js';
import type { EditStep } from '../scenario.js';
import type { EditInForce } from '../scenario-result.js';

const POLL_MS = 5;
/** Time after which an edit counts as not in force at all nodes, in milliseconds. */
const PROPAGATION_TIMEOUT_MS = 10_000;

const wait = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

const isInForce = (tier: LocalTier, revision: number): boolean =>
  [...tier.nodes.values()].every(({ state }) => state.configuration.revision >= revision);

const buildBody = (tier: LocalTier, step: EditStep, edit: string): object | undefined => {
  const content = tier.platform.model.read(`sheet/${step.partner}`);
  if (content?.content.type !== 'sheet') {
    return undefined;
  }
  const currentRow = content.content.sheet.rows.find(
    ({ row }) => row.route === step.route && row.kind === step.requestKind,
  );
  return (
    currentRow && {
      edit,
      reason: 'a step of a scenario',
      seenVersion: content.version,
      action: {
        type: 'change-rows',
        changes: [
          {
            type: 'set',
            row: { ...currentRow.row, weight: step.weight },
            basedOn: currentRow.rowVersion,
          },
        ],
      },
    }
  );
};

/** Sends the edit to a running node; resolves when it is in force at all nodes or has timed out. */
export const measureEditPropagation = async (
  tier: LocalTier,
  deployment: Deployment,
  step: EditStep,
  edit: string,
): Promise<EditInForce> => {
  const sentAt = performance.now();
  const body = buildBody(tier, step, edit);
  const url = tier.operatorUrls[0];
  if (body === undefined || url === undefined) {
    return { partner: step.partner };
  }
  const answer = await request(`${url}/v1/edits`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${demoSecret(deployment.partner, 'operator')}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify(body),
  });
  const outcome = (await answer.body.json()) as { revision?: number };
  while (outcome.revision !== undefined && performance.now() < sentAt + PROPAGATION_TIMEOUT_MS) {
    if (isInForce(tier, outcome.revision)) {
      return { partner: step.partner, inForceMs: performance.now() - sentAt };
    }
    await wait(POLL_MS);
  }
  return { partner: step.partner };
};
