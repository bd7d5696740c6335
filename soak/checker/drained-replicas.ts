/** A replica that drains or is gone gets no request once that has been known for long enough. */
import type { Departure } from '../model/observations.js';
import type { Evidence } from './evidence.js';
import type { Violation } from './violation.js';

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
      const isTimely = service === departure.service && at > from && at < from + SERVES_LONGER_MS;
      return isTimely && request !== undefined && evidence.isRequestInTouch(request, at, at);
    });
    evidence.noteJudged('drained-replicas', cases.length);
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
    const isLate = lateMs > drainMs && wasStable(evidence, departure);
    if (!isLate || !evidence.isRequestInTouch(request, arrival.at, arrival.at)) {
      return [];
    }
    const { id, gateway, path } = request;
    const text = `${path} reached ${arrival.replica} ${lateMs} ms after the store said that it leaves`;
    return [{ promise: 'drained-replicas', at: arrival.at, gateway, requestId: id, text }];
  });
};
