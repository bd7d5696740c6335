/** After the faults all gateways serve again, and no process has ended by itself. */
import type { CallerRequest } from '../model/observations.js';
import { isPoison } from '../world/paths.js';
import { type Evidence, findRoute } from './evidence.js';
import type { Violation } from './violation.js';

/** Share of the requests that each gateway must serve. */
const MIN_SERVED_SHARE = 0.9;

const isServed = ({ outcome }: CallerRequest): boolean =>
  outcome.type === 'answered' && outcome.status >= 200 && outcome.status < 300;

/**
 * Whether the request is owed: every version that may be in force allows it, no replica ends under it, and its caller
 * stayed.
 */
const mustBeServed = (evidence: Evidence, { path, sentAt, outcome }: CallerRequest): boolean => {
  const oldest = evidence.oldestAt(sentAt);
  const newest = evidence.newestAt(sentAt);
  const knowing = evidence.versionsWhere(
    oldest,
    newest,
    (each) => findRoute(each, path) !== undefined,
  );
  return !isPoison(path) && outcome.type !== 'left' && knowing.length === newest - oldest + 1;
};

const checkGateway = (evidence: Evidence, gateway: number, from: number): readonly Violation[] => {
  const promise = 'recovery';
  const requests = evidence.observations.requests.filter(
    (request) =>
      request.gateway === gateway && request.sentAt >= from && mustBeServed(evidence, request),
  );
  evidence.recordCases(promise, requests.length);
  const served = requests.filter(isServed).length;
  const samples = evidence.observations.readiness.filter(
    (sample) => sample.gateway === gateway && sample.at >= from,
  );
  // The load balancer takes a gateway out after two questions in a row without success.
  const unready = samples.find(({ ready }, index) => !ready && samples[index - 1]?.ready === false);
  return [
    ...(unready === undefined
      ? []
      : [{ promise, at: unready.at, gateway, text: 'is not ready after the faults' } as const]),
    ...(served > 0 && served >= MIN_SERVED_SHARE * requests.length
      ? []
      : [
          {
            promise,
            at: from,
            gateway,
            text: `served ${served} of ${requests.length} requests after the faults`,
          } as const,
        ]),
  ];
};

/** Finds gateways that do not serve as they should once the time to recover is over. */
export const checkRecovery = (evidence: Evidence): readonly Violation[] => {
  const { faultsEndedAt } = evidence.observations;
  if (faultsEndedAt === undefined) {
    return [{ promise: 'recovery', at: 0, text: 'the run ended before its faults' }];
  }
  const from = faultsEndedAt + evidence.run.bounds.recoveryMs;
  return Array.from({ length: evidence.run.gateways }, (_, gateway) =>
    checkGateway(evidence, gateway, from),
  ).flat();
};

/** Finds processes that ended though nobody had asked them to. */
export const checkUnexpectedExits = ({ observations }: Evidence): readonly Violation[] =>
  observations.unexpectedExits.map(({ gateway, at, detail }) => ({
    promise: 'no-own-end',
    at,
    gateway,
    text: `the process ended by itself: ${detail}`,
  }));
