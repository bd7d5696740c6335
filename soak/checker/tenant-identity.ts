/** Checks that replicas see no keys and the name of the right tenant, and that only requests with keys reach them. */
import type { Evidence } from './evidence.js';
import {
  hasTenants,
  holderOf,
  type KeyedArrival,
  keyedArrivals,
  versionsInForce,
} from './tenant-evidence.js';
import type { PromiseName, Violation } from './violation.js';

const UNAUTHORIZED = 401;

const createViolation = (
  promise: PromiseName,
  { request, arrival }: KeyedArrival,
  text: string,
): Violation => ({
  promise,
  at: arrival.at,
  gateway: request.gateway,
  requestId: request.id,
  text,
});

/** Finds arrivals that show an API key to a replica, and gateways that write one to their output. */
export const checkHiddenKeys = (evidence: Evidence): readonly Violation[] => {
  const arrivals = keyedArrivals(evidence).filter(({ request }) => request.apiKey !== undefined);
  evidence.recordCases('hidden-keys', arrivals.length);
  const shown = arrivals
    .filter(({ arrival }) => arrival.showsKey === true)
    .map((each) =>
      createViolation('hidden-keys', each, `${each.arrival.replica} received an API key`),
    );
  const logged = evidence.observations.loggedKeys.map(({ gateway, at }): Violation => ({
    promise: 'hidden-keys',
    at,
    gateway,
    text: 'the gateway wrote an API key to its output',
  }));
  return [...shown, ...logged];
};

/** Whether any version up to the arrival had the key. */
const wasEverKnown = (evidence: Evidence, { request, arrival }: KeyedArrival): boolean =>
  evidence.versionsWhere(
    0,
    evidence.newestAt(arrival.at),
    (version) => holderOf(version, request.apiKey) !== undefined,
  ).length > 0;

/** Finds requests with an unknown key, or with none, that reached a replica. */
export const checkUnknownKeys = (evidence: Evidence): readonly Violation[] => {
  if (!hasTenants(evidence)) {
    return [];
  }
  const newest = evidence.observations.versions.length - 1;
  const unknown = evidence.observations.requests.filter(
    ({ apiKey }) =>
      evidence.versionsWhere(0, newest, (version) => holderOf(version, apiKey) !== undefined)
        .length === 0,
  );
  evidence.recordCases('unknown-keys', unknown.length);
  return keyedArrivals(evidence)
    .filter((each) => !wasEverKnown(evidence, each))
    .map((each) => {
      const kind = each.request.apiKey === undefined ? 'no key' : 'an unknown key';
      return createViolation('unknown-keys', each, `a request with ${kind} reached a replica`);
    });
};

/** Finds arrivals without the name of the tenant that holds the key in a version that may be in force. */
export const checkTenantNames = (evidence: Evidence): readonly Violation[] => {
  if (!hasTenants(evidence)) {
    return [];
  }
  const arrivals = keyedArrivals(evidence).filter((each) => wasEverKnown(evidence, each));
  evidence.recordCases('tenant-names', arrivals.length);
  return arrivals.flatMap((each): readonly Violation[] => {
    const { request, arrival } = each;
    const versions = versionsInForce(evidence, request, arrival.at);
    const names = versions.flatMap((version) => holderOf(version, request.apiKey)?.name ?? []);
    if (arrival.tenant !== undefined && names.includes(arrival.tenant)) {
      return [];
    }
    const expected =
      [...new Set(names)].join(' or ') || 'none, since no version in force has its key';
    const text = `a replica was told tenant ${arrival.tenant ?? '(none)'}, expected ${expected}`;
    return [createViolation('tenant-names', each, text)];
  });
};

/** Finds requests that were answered 401 although every version that may be in force has their key. */
export const checkNeedlessRejections = (evidence: Evidence): readonly Violation[] =>
  evidence.observations.requests.flatMap((request): readonly Violation[] => {
    const { outcome, endedAt, id, gateway, apiKey } = request;
    if (outcome.type !== 'answered' || outcome.status !== UNAUTHORIZED) {
      return [];
    }
    evidence.recordCases('needless-401', 1);
    const mayReject = versionsInForce(evidence, request, endedAt).some(
      (version) => version.tenants !== undefined && holderOf(version, apiKey) === undefined,
    );
    const text = 'was answered 401, although every version that may be in force has its key';
    return mayReject
      ? []
      : [{ promise: 'needless-401', at: endedAt, gateway, requestId: id, text }];
  });
