/** Checks that replicas which drain, are removed, or have an invalid entry get no requests after the bound. */
import type { Departure } from '../model/observations.js';
import type { Evidence } from './evidence.js';
import type { PromiseName, Violation } from './violation.js';

const getPromise = ({ why }: Departure): PromiseName =>
  why === 'leaves' ? 'drained-replicas' : 'spoilt-entries';

const describeReason = ({ why }: Departure): string =>
  why === 'leaves' ? 'the store announced that it leaves' : 'its entry was overwritten';

/** Whether the replica had restored its own entry by `at`. */
const hasReturned = ({ returnedAt }: Departure, at: number): boolean =>
  returnedAt !== undefined && at >= returnedAt;

/** Whether the store was undisturbed when it acknowledged the departure. */
const hadStoreContact = (evidence: Evidence, { acknowledgedAt }: Departure): boolean =>
  evidence.isInContact([], acknowledgedAt, acknowledgedAt);

/** Time after the bound during which every departing replica still serves, in milliseconds. */
const EXTRA_SERVING_MS = 2_500;

/** Records arrivals, from gateways in contact, that could have gone to the departing replica. */
const recordCases = (evidence: Evidence): void => {
  const { departures, arrivals } = evidence.observations;
  const { drainMs } = evidence.run.bounds;
  for (const departure of departures.filter((each) => hadStoreContact(evidence, each))) {
    const from = departure.acknowledgedAt + drainMs;
    const cases = arrivals.filter(({ service, at, requestId }) => {
      const request = evidence.requests.get(requestId);
      const isTimely =
        service === departure.service &&
        at > from &&
        at < from + EXTRA_SERVING_MS &&
        !hasReturned(departure, at);
      return isTimely && request !== undefined && evidence.isRequestInContact(request, at, at);
    });
    evidence.recordCases(getPromise(departure), cases.length);
  }
};

/** Finds requests that gateways in contact sent to a replica after its departure had to be known. */
export const checkDrainedReplicas = (evidence: Evidence): readonly Violation[] => {
  const { departures, arrivals } = evidence.observations;
  const { drainMs } = evidence.run.bounds;
  recordCases(evidence);
  const left = new Map(departures.map((departure) => [departure.replica, departure]));
  return arrivals.flatMap((arrival): readonly Violation[] => {
    const departure = left.get(arrival.replica);
    const request = evidence.requests.get(arrival.requestId);
    if (departure === undefined || request === undefined) {
      return [];
    }
    const lateMs = Math.round(arrival.at - departure.acknowledgedAt);
    const isKnown = lateMs > drainMs && !hasReturned(departure, arrival.at);
    const isLate = isKnown && hadStoreContact(evidence, departure);
    if (!isLate || !evidence.isRequestInContact(request, arrival.at, arrival.at)) {
      return [];
    }
    const { id, gateway, path } = request;
    const text = `${path} reached ${arrival.replica} ${lateMs} ms after ${describeReason(departure)}`;
    return [{ promise: getPromise(departure), at: arrival.at, gateway, requestId: id, text }];
  });
};
