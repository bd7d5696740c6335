/** Waits until a revision is in force on all live nodes. */
import { setTimeout as delay } from 'node:timers/promises';
import type { NodeRevision, RevisionsBody } from '../../operator-protocol/status-body.js';
import { getRevisions, type OperatorTarget } from '../operator/operator-client.js';

/** How often the node is asked, in milliseconds. */
const POLL_INTERVAL_MS = 200;

/** How a wait ended. */
export interface InForceResult {
  /** Live nodes, as the node that was asked knows them. */
  readonly nodes: number;
  /** Live nodes on which the revision is not known to be in force. */
  readonly missing: readonly NodeRevision[];
  readonly elapsedMs: number;
  /** Why the node did not tell; absent when it did. */
  readonly problem?: string;
}

const isLive = ({ state }: NodeRevision): boolean => state === 'alive' || state === 'suspect';

const isBehind = (node: NodeRevision, revision: number): boolean =>
  node.revision === null || node.revision < revision;

const summarize = (body: RevisionsBody, revision: number): Omit<InForceResult, 'elapsedMs'> => {
  const live = body.nodes.filter(isLive);
  return { nodes: live.length, missing: live.filter((node) => isBehind(node, revision)) };
};

/** Asks `target` until all live nodes hold `revision` or `waitMs` have passed. */
export const waitUntilInForce = async (
  target: OperatorTarget,
  revision: number,
  waitMs: number,
): Promise<InForceResult> => {
  const startedAt = Date.now();
  for (;;) {
    const answer = await getRevisions(target);
    const elapsedMs = Date.now() - startedAt;
    const result = answer.caseOf<InForceResult>({
      Left: ({ problem }) => ({ nodes: 0, missing: [], elapsedMs, problem }),
      Right: (body) => ({ ...summarize(body, revision), elapsedMs }),
    });
    const done = result.problem === undefined && result.missing.length === 0;
    if (done || elapsedMs + POLL_INTERVAL_MS > waitMs) {
      return result;
    }
    await delay(POLL_INTERVAL_MS);
  }
};
