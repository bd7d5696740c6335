/** A request that ends each replica that runs it is sent to few more once that can be known everywhere. */
import type { Evidence } from './evidence.js';
import type { Violation } from './violation.js';

/** Replicas that must have ended under it. */
const KNOWN_AFTER_CRASHES = 3;

/** Tries that may still reach replicas later than `contactMs` after that. */
const MAX_LATE_ATTEMPTS = 3;

const checkPath = (evidence: Evidence, path: string, knownAt: number): readonly Violation[] => {
  const lateFrom = knownAt + evidence.run.bounds.contactMs;
  const late = evidence.observations.requests.filter(
    (request) =>
      request.path === path &&
      request.sentAt > lateFrom &&
      evidence.isRequestInContact(request, request.sentAt, request.endedAt),
  );
  evidence.recordCases('lethal-requests', late.length);
  const reached = late.filter(({ id }) => evidence.runsOf(id).length > 0);
  const [fourth] = reached.slice(MAX_LATE_ATTEMPTS);
  if (fourth === undefined) {
    return [];
  }
  const { id: requestId, gateway, sentAt: at } = fourth;
  const text = `${path} reached replicas in ${reached.length} late tries`;
  return [{ promise: 'lethal-requests', at, gateway, requestId, text }];
};

/** Finds requests that go on ending replicas. */
export const checkPoisonRequests = (evidence: Evidence): readonly Violation[] => {
  const { poisonCrashes } = evidence.observations;
  const paths = [...new Set(poisonCrashes.map(({ path }) => path))];
  return paths.flatMap((path) => {
    const known = poisonCrashes.filter((crash) => crash.path === path)[KNOWN_AFTER_CRASHES - 1];
    return known === undefined ? [] : checkPath(evidence, path, known.at);
  });
};
