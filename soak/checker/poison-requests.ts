/** A request that ends each replica that runs it is sent to few more once that can be known everywhere. */
import type { Evidence } from './evidence.js';
import type { Violation } from './violation.js';

/** Replicas that must have ended under it. */
const KNOWN_AFTER_RUNS = 3;

/** Tries that may still reach replicas later than `contactMs` after that. */
const MOST_LATE_TRIES = 3;

const checkPath = (evidence: Evidence, path: string, knownAt: number): readonly Violation[] => {
  const lateFrom = knownAt + evidence.run.bounds.contactMs;
  const late = evidence.observations.requests.filter(
    (request) =>
      request.path === path &&
      request.sentAt > lateFrom &&
      evidence.isRequestInTouch(request, request.sentAt, request.endedAt),
  );
  evidence.noteJudged('lethal-requests', late.length);
  const reached = late.filter(({ id }) => evidence.runsOf(id).length > 0);
  const [fourth] = reached.slice(MOST_LATE_TRIES);
  if (fourth === undefined) {
    return [];
  }
  const { id: requestId, gateway, sentAt: at } = fourth;
  const text = `${path} reached replicas in ${reached.length} late tries`;
  return [{ promise: 'lethal-requests', at, gateway, requestId, text }];
};

/** Finds requests that go on ending replicas. */
export const checkLethalRequests = (evidence: Evidence): readonly Violation[] => {
  const { lethalRuns } = evidence.observations;
  const paths = [...new Set(lethalRuns.map(({ path }) => path))];
  return paths.flatMap((path) => {
    const known = lethalRuns.filter((run) => run.path === path)[KNOWN_AFTER_RUNS - 1];
    return known === undefined ? [] : checkPath(evidence, path, known.at);
  });
};
