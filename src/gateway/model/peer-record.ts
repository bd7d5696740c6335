/** What a gateway tells the other gateways of itself through the store. */
import type { HostPort } from '../../settings/node-settings.js';
import type { Fingerprint } from './request.js';

/** One gateway; a restart keeps the name. */
export interface PeerRecord {
  readonly name: string;
  readonly zone: string;
  /** Where it takes subqueries, over TCP. */
  readonly address: HostPort;
  /** Processor that it has, in cores of the usual speed. */
  readonly capacity: number;
  /**
   * Requests under which replicas have ended again and again, those that it learnt first-hand: it knows them again
   * when it has started anew, also where all gateways have ended. Absent where there are none.
   */
  readonly suspects?: readonly SuspectedRequest[];
}

/** A request that is suspected to end replicas, or blocked for that. */
export interface SuspectedRequest {
  readonly fingerprint: Fingerprint;
  /** Rounds of replicas that have ended under it. */
  readonly rounds: number;
}

const isSameList = (
  left: readonly SuspectedRequest[] = [],
  right: readonly SuspectedRequest[] = [],
): boolean =>
  left.length === right.length &&
  left.every(({ fingerprint, rounds }, index) => {
    const other = right[index];
    return fingerprint === other?.fingerprint && rounds === other.rounds;
  });

/** Whether two records tell the same. */
export const isSamePeerRecord = (left: PeerRecord, right: PeerRecord): boolean =>
  left.name === right.name &&
  left.zone === right.zone &&
  left.address.host === right.address.host &&
  left.address.port === right.address.port &&
  left.capacity === right.capacity &&
  isSameList(left.suspects, right.suspects);
