/** Work for a caller who has left ends soon after. */
import type { Arrival, CallerRequest } from '../model/observations.js';
import type { Evidence } from './evidence.js';
import type { Violation } from './violation.js';

/** Time within which work for a caller who has left must end, in milliseconds. */
export const END_WITHIN_MS = 500;

/** Requests that may arrive later than that in a run. */
const LATE_ARRIVALS_ALLOWED = 3;

/** Share of the requests with work for longer than that which may still be worked on. */
const STILL_AT_WORK_ALLOWED = 0.25;

interface Departed {
  readonly request: CallerRequest;
  readonly dueAt: number;
}

const departedInTouch = (evidence: Evidence): readonly Departed[] =>
  evidence.observations.requests
    .filter(({ outcome }) => outcome.type === 'left')
    .map((request) => ({ request, dueAt: request.endedAt + END_WITHIN_MS }))
    .filter(({ request, dueAt }) => evidence.isRequestInTouch(request, request.sentAt, dueAt));

const report = ({ request, dueAt }: Departed, text: string): Violation => ({
  promise: 'callers-gone',
  at: dueAt,
  gateway: request.gateway,
  requestId: request.id,
  text,
});

const checkLateArrivals = (
  evidence: Evidence,
  departed: readonly Departed[],
): readonly Violation[] => {
  const late = departed.filter(({ request, dueAt }) =>
    evidence.arrivalsOf(request.id).some(({ at }) => at > dueAt),
  );
  return late.length <= LATE_ARRIVALS_ALLOWED
    ? []
    : late.map((each) => report(each, 'reached a replica long after its caller had left'));
};

const checkWork = (evidence: Evidence, departed: readonly Departed[]): readonly Violation[] => {
  const lasts = ({ at, workMs }: Arrival, dueAt: number): boolean =>
    at <= dueAt && at + workMs > dueAt;
  const long = departed.filter(({ request, dueAt }) =>
    evidence.runsOf(request.id).some((run) => lasts(run, dueAt)),
  );
  const working = long.filter(({ request, dueAt }) =>
    evidence
      .runsOf(request.id)
      .some((run) => lasts(run, dueAt) && (run.endedAt ?? Number.POSITIVE_INFINITY) > dueAt),
  );
  return working.length <= STILL_AT_WORK_ALLOWED * long.length
    ? []
    : working.map((each) =>
        report(each, `is one of ${working.length} of ${long.length} still worked on`),
      );
};

/** Finds work for callers who have left. */
export const checkCallersGone = (evidence: Evidence): readonly Violation[] => {
  const departed = departedInTouch(evidence);
  evidence.noteJudged('callers-gone', departed.length);
  return [...checkLateArrivals(evidence, departed), ...checkWork(evidence, departed)];
};
