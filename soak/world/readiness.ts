/** Asks a gateway whether it takes callers, as the load balancer does. */
import { platformProtocol } from '../../platform/protocol.js';

/** Time for an answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 500;

/** Whether the gateway whose readiness is served on `port` is ready. */
export const isReady = async (port: number): Promise<boolean> => {
  const signal = AbortSignal.timeout(ANSWER_TIMEOUT_MS);
  const url = `http://127.0.0.1:${port}${platformProtocol.readinessPath}`;
  const answer = await fetch(url, { signal }).catch(() => undefined);
  await answer?.arrayBuffer().catch(() => undefined);
  return answer?.status === 200;
};
