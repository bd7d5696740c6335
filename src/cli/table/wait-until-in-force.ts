/** Waits until a revision is in force on all live nodes. */
import { setTimeout as delay } from 'node:timers/promises';
import type { NodeRevision, RevisionsBody } from '../../operator-protocol/status-body.js';
import { getRevisions, type OperatorTarget } from '../operator/operator-client.js';

/** Time between two requests to the node, in milliseconds. */
const POLL_INTERVAL_MS = 200;

/** The result of the wait. */
export interface InForceResult {
  /** Number of live nodes, as the requested node sees them. */
  readonly nodes: number;
  /** Live nodes on which the revision is not known to be in force. */
  readonly missing: readonly NodeRevision[];
  readonly elapsedMs: number;
  /** Why the last request failed; absent if it succeeded. */
  readonly problem?: string;
}

const isLive = ({ state }: NodeRevision): boolean => state === 'alive' || state === 'suspect';

const isBehind = (node: NodeRevision, revision: number): boolean =>
  node.revision === null || node.revision < revision;

const summarize = (body: RevisionsBody, revision: number): Omit<InForceResult, 'elapsedMs'> => {
  const live = body.nodes.filter(isLive);
  return { nodes: live.length, missing: live.filter((node) => isBehind(node, revision)) };
};

/** Polls `target` until `revision` is in force on all live nodes, or for `waitMs` milliseconds. */
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
