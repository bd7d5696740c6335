/** The entry by which a replica describes itself through the store. */

/** One incarnation of a replica. A restart changes `id`, or keeps it and changes `bornAt`. */
export interface ReplicaRecord {
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  /** Number of requests that it runs concurrently. */
  readonly slots: number;
  /** It accepts no new requests and will stop. */
  readonly draining: boolean;
  /** Time for which it is still cold after its start, in milliseconds, as of the writing of the entry. */
  readonly coldMs: number;
  /** Start time, in milliseconds since 1970; absent if the entry does not give it. */
  readonly bornAt?: number;
  /** Remaining time for which it is cold, in milliseconds, as sent by a reader; absent in entries of the store. */
  readonly coldLeftMs?: number;
}

/** Whether two records have the same content in the store. */
export const isSameReplicaRecord = (left: ReplicaRecord, right: ReplicaRecord): boolean =>
  left.id === right.id &&
  left.service === right.service &&
  left.host === right.host &&
  left.port === right.port &&
  left.zone === right.zone &&
  left.slots === right.slots &&
  left.draining === right.draining &&
  left.coldMs === right.coldMs &&
  left.bornAt === right.bornAt;

/**
 * Whether two records are of different incarnations of the replica; false if one of them gives no start time. The order of
 * the store determines which is later, since the machine's clock may have been set back between the starts.
 */
export const isOtherIncarnation = (record: ReplicaRecord, other: ReplicaRecord): boolean =>
  record.bornAt !== undefined && other.bornAt !== undefined && record.bornAt !== other.bornAt;
