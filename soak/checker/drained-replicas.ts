/** A replica that drains, is gone, or has an entry that cannot be read gets no request once that can be known. */
import type { Departure } from '../model/observations.js';
import type { Evidence } from './evidence.js';
import type { Promised, Violation } from './violation.js';

const promiseOf = ({ why }: Departure): Promised =>
  why === 'leaves' ? 'drained-replicas' : 'spoilt-entries';

const reasonOf = ({ why }: Departure): string =>
  why === 'leaves' ? 'the store said that it leaves' : 'its entry was spoilt';

/** Whether a replica had its own entry again. */
const hasReturned = ({ returnedAt }: Departure, at: number): boolean =>
  returnedAt !== undefined && at >= returnedAt;

/** Whether the store had been calm when it acknowledged that the replica leaves. */
const wasStable = (evidence: Evidence, { acknowledgedAt }: Departure): boolean =>
  evidence.isInTouch([], acknowledgedAt, acknowledgedAt);

/** Time after the bound in which all replicas that leave still serve, in milliseconds. */
const SERVES_LONGER_MS = 2_500;

/** Arrivals at other replicas, in touch, that could have gone to the one that leaves. */
const noteJudged = (evidence: Evidence): void => {
  const { departures, arrivals } = evidence.observations;
  const { drainMs } = evidence.run.bounds;
  for (const departure of departures.filter((each) => wasStable(evidence, each))) {
    const from = departure.acknowledgedAt + drainMs;
    const cases = arrivals.filter(({ service, at, requestId }) => {
      const request = evidence.requests.get(requestId);
      const isTimely =
        service === departure.service &&
        at > from &&
        at < from + SERVES_LONGER_MS &&
        !hasReturned(departure, at);
      return isTimely && request !== undefined && evidence.isRequestInTouch(request, at, at);
    });
    evidence.noteJudged(promiseOf(departure), cases.length);
  }
};

/** Finds requests that gateways in touch sent to a replica too late. */
export const checkDrainedReplicas = (evidence: Evidence): readonly Violation[] => {
  const { departures, arrivals } = evidence.observations;
  const { drainMs } = evidence.run.bounds;
  noteJudged(evidence);
  const left = new Map(departures.map((departure) => [departure.replica, departure]));
  return arrivals.flatMap((arrival): readonly Violation[] => {
    const departure = left.get(arrival.replica);
    const request = evidence.requests.get(arrival.requestId);
    if (departure === undefined || request === undefined) {
      return [];
    }
    const lateMs = Math.round(arrival.at - departure.acknowledgedAt);
    const isKnown = lateMs > drainMs && !hasReturned(departure, arrival.at);
    const isLate = isKnown && wasStable(evidence, departure);
    if (!isLate || !evidence.isRequestInTouch(request, arrival.at, arrival.at)) {
      return [];
    }
    const { id, gateway, path } = request;
    const text = `${path} reached ${arrival.replica} ${lateMs} ms after ${reasonOf(departure)}`;
    return [{ promise: promiseOf(departure), at: arrival.at, gateway, requestId: id, text }];
  });
};
