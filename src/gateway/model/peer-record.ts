/** What a gateway tells the other gateways of itself through the store. */
import type { HostPort } from '../../settings/node-settings.js';

/** One gateway; a restart keeps the name. */
export interface PeerRecord {
  readonly name: string;
  readonly zone: string;
  /** Where it takes subqueries, over TCP. */
  readonly address: HostPort;
  /** Processor that it has, in cores of the usual speed. */
  readonly capacity: number;
}

/** Whether two records tell the same. */
export const isSamePeerRecord = (left: PeerRecord, right: PeerRecord): boolean =>
  left.name === right.name &&
  left.zone === right.zone &&
  left.address.host === right.address.host &&
  left.address.port === right.address.port &&
  left.capacity === right.capacity;
