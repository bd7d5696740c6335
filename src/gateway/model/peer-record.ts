/** The entry by which a gateway describes itself to the other gateways through the store. */
import type { HostPort } from '../../settings/node-settings.js';
import type { Fingerprint } from './request.js';

/** One gateway; its name survives a restart. */
export interface PeerRecord {
  readonly name: string;
  readonly zone: string;
  /** TCP address at which it accepts subqueries. */
  readonly address: HostPort;
  /** Processor capacity, in cores of the usual speed. */
  readonly capacity: number;
  /**
   * Requests that have crashed replicas and that none has answered since, as far as this gateway has observed the crashes
   * itself. It reads them back after a restart, even if all gateways have restarted. Absent if there are none.
   */
  readonly suspects?: readonly SuspectedRequest[];
}

/** A request that is suspected of crashing replicas, or blocked for it. */
export interface SuspectedRequest {
  readonly fingerprint: Fingerprint;
  /** Number of rounds in which the request has crashed replicas. */
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

/** Whether two records have the same content. */
export const isSamePeerRecord = (left: PeerRecord, right: PeerRecord): boolean =>
  left.name === right.name &&
  left.zone === right.zone &&
  left.address.host === right.address.host &&
  left.address.port === right.address.port &&
  left.capacity === right.capacity &&
  isSameList(left.suspects, right.suspects);
