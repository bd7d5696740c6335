/** Checks the readiness of a gateway, as the load balancer does. */
import { platformProtocol } from '../../platform/protocol.js';

/** Timeout of a readiness check, in milliseconds. */
const ANSWER_TIMEOUT_MS = 500;

/** Whether the gateway that serves its readiness on `port` is ready; false if it does not answer in time. */
export const isReady = async (port: number): Promise<boolean> => {
  const signal = AbortSignal.timeout(ANSWER_TIMEOUT_MS);
  const url = `http://127.0.0.1:${port}${platformProtocol.readinessPath}`;
  const answer = await fetch(url, { signal }).catch(() => undefined);
  await answer?.arrayBuffer().catch(() => undefined);
  return answer?.status === 200;
};
