/** Checks that a poison request reaches few more replicas once all gateways can know it. */
import type { Evidence } from './evidence.js';
import type { Violation } from './violation.js';

/** Number of crashes after which the gateways can know a poison request. */
const KNOWN_AFTER_CRASHES = 3;

/** Number of requests that may still reach replicas later than `contactMs` after that. */
const MAX_LATE_ATTEMPTS = 3;

const checkPath = (evidence: Evidence, path: string, knownAt: number): readonly Violation[] => {
  const lateFrom = knownAt + evidence.run.bounds.contactMs;
  const late = evidence.observations.requests.filter(
    (request) =>
      request.path === path &&
      request.sentAt > lateFrom &&
      evidence.isRequestInContact(request, request.sentAt, request.endedAt),
  );
  evidence.recordCases('poison-requests', late.length);
  const reached = late.filter(({ id }) => evidence.runsOf(id).length > 0);
  const [fourth] = reached.slice(MAX_LATE_ATTEMPTS);
  if (fourth === undefined) {
    return [];
  }
  const { id: requestId, gateway, sentAt: at } = fourth;
  const text = `${path} reached replicas in ${reached.length} late attempts`;
  return [{ promise: 'poison-requests', at, gateway, requestId, text }];
};

/** Finds poison requests that keep reaching replicas. */
export const checkPoisonRequests = (evidence: Evidence): readonly Violation[] => {
  const { poisonCrashes } = evidence.observations;
  const paths = [...new Set(poisonCrashes.map(({ path }) => path))];
  return paths.flatMap((path) => {
    const known = poisonCrashes.filter((crash) => crash.path === path)[KNOWN_AFTER_CRASHES - 1];
    return known === undefined ? [] : checkPath(evidence, path, known.at);
  });
};
