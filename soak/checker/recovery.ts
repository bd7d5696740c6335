/** Checks that all gateways serve again after the faults, and that no process exited unexpectedly. */
import type { CallerRequest, Version } from '../model/observations.js';
import { isPoison } from '../world/paths.js';
import { type Evidence, findRoute } from './evidence.js';
import { holderOf } from './tenant-evidence.js';
import type { Violation } from './violation.js';

/** Minimum share of its requests that each gateway must serve. */
const MIN_SERVED_SHARE = 0.9;

const isServed = ({ outcome }: CallerRequest): boolean =>
  outcome.type === 'answered' && outcome.status >= 200 && outcome.status < 300;

/** Whether the version admits the request, whatever else its tenant sends. */
const isAdmitted = (version: Version, { apiKey }: CallerRequest): boolean => {
  const holder = holderOf(version, apiKey);
  return version.tenants === undefined || (holder !== undefined && holder.limit === undefined);
};

/**
 * Whether the gateway must serve the request: every version that may be in force has a route for it and admits it
 * without a quota, it is no poison request, and its caller did not leave.
 */
const mustBeServed = (evidence: Evidence, request: CallerRequest): boolean => {
  const { path, sentAt, outcome } = request;
  const oldest = evidence.oldestAt(sentAt);
  const newest = evidence.newestAt(sentAt);
  const knowing = evidence.versionsWhere(
    oldest,
    newest,
    (each) => findRoute(each, path) !== undefined && isAdmitted(each, request),
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
  // The load balancer removes a gateway after two failed readiness checks in a row.
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

/** Finds gateways that are not ready or serve too few requests once the time to recover is over. */
export const checkRecovery = (evidence: Evidence): readonly Violation[] => {
  const { faultsEndedAt } = evidence.observations;
  if (faultsEndedAt === undefined) {
    return [{ promise: 'recovery', at: 0, text: 'the run ended before its faults were over' }];
  }
  const from = faultsEndedAt + evidence.run.bounds.recoveryMs;
  return Array.from({ length: evidence.run.gateways }, (_, gateway) =>
    checkGateway(evidence, gateway, from),
  ).flat();
};

/** Finds processes that exited without having been stopped. */
export const checkUnexpectedExits = ({ observations }: Evidence): readonly Violation[] =>
  observations.unexpectedExits.map(({ gateway, at, detail }) => ({
    promise: 'no-unexpected-exit',
    at,
    gateway,
    text: `the process exited unexpectedly: ${detail}`,
  }));
