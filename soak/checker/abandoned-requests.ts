/** Checks that replicas soon stop working on requests whose callers have left. */
import type { Arrival, CallerRequest } from '../model/observations.js';
import type { Evidence } from './evidence.js';
import type { Violation } from './violation.js';

/** Time after a caller has left within which work on its request must end, in milliseconds. */
export const MAX_WORK_AFTER_MS = 500;

/** Number of requests per run that may still arrive at a replica after that time. */
const MAX_LATE_ARRIVALS = 3;

/** Share of the requests with work beyond that time which may still be running then. */
const MAX_STILL_RUNNING_SHARE = 0.25;

interface AbandonedRequest {
  readonly request: CallerRequest;
  readonly dueAt: number;
}

const findAbandoned = (evidence: Evidence): readonly AbandonedRequest[] =>
  evidence.observations.requests
    .filter(({ outcome }) => outcome.type === 'left')
    .map((request) => ({ request, dueAt: request.endedAt + MAX_WORK_AFTER_MS }))
    .filter(({ request, dueAt }) => evidence.isRequestInContact(request, request.sentAt, dueAt));

const createViolation = ({ request, dueAt }: AbandonedRequest, text: string): Violation => ({
  promise: 'callers-gone',
  at: dueAt,
  gateway: request.gateway,
  requestId: request.id,
  text,
});

const checkLateArrivals = (
  evidence: Evidence,
  abandoned: readonly AbandonedRequest[],
): readonly Violation[] => {
  const late = abandoned.filter(({ request, dueAt }) =>
    evidence.arrivalsOf(request.id).some(({ at }) => at > dueAt),
  );
  return late.length <= MAX_LATE_ARRIVALS
    ? []
    : late.map((each) => createViolation(each, 'reached a replica long after its caller had left'));
};

const checkWork = (
  evidence: Evidence,
  abandoned: readonly AbandonedRequest[],
): readonly Violation[] => {
  const runsPast = ({ at, workMs }: Arrival, dueAt: number): boolean =>
    at <= dueAt && at + workMs > dueAt;
  const long = abandoned.filter(({ request, dueAt }) =>
    evidence.runsOf(request.id).some((run) => runsPast(run, dueAt)),
  );
  const stillRunning = long.filter(({ request, dueAt }) =>
    evidence
      .runsOf(request.id)
      .some((run) => runsPast(run, dueAt) && (run.endedAt ?? Number.POSITIVE_INFINITY) > dueAt),
  );
  return stillRunning.length <= MAX_STILL_RUNNING_SHARE * long.length
    ? []
    : stillRunning.map((each) =>
        createViolation(
          each,
          `is one of ${stillRunning.length} of ${long.length} requests still running after their caller had left`,
        ),
      );
};

/** Finds requests that replicas still run, or begin to run, long after their callers have left. */
export const checkAbandonedRequests = (evidence: Evidence): readonly Violation[] => {
  const abandoned = findAbandoned(evidence);
  evidence.recordCases('callers-gone', abandoned.length);
  return [...checkLateArrivals(evidence, abandoned), ...checkWork(evidence, abandoned)];
};
