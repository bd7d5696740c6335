/** What a replica tells of itself through the store. */

/** One incarnation of a replica: a restart has another `id`, or the same and another `bornAt`. */
export interface ReplicaRecord {
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  /** Requests it works on at once. */
  readonly slots: number;
  /** It takes no new work and will end. */
  readonly draining: boolean;
  /** How much longer it is slow after its start, in milliseconds, when it wrote this. */
  readonly coldMs: number;
  /** When it started, in milliseconds since 1970; absent where its entry does not tell it. */
  readonly bornAt?: number;
  /** How much longer it is slow as a reader tells it, in milliseconds; absent in what the store holds. */
  readonly coldLeftMs?: number;
}

/** Whether the store holds the same in two records. */
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
 * Whether two records are of different starts of the replica; false where one does not tell its start. Which is later is
 * for the store's order to say: a machine's time of day may have stepped back between them.
 */
export const isOtherIncarnation = (record: ReplicaRecord, other: ReplicaRecord): boolean =>
  record.bornAt !== undefined && other.bornAt !== undefined && record.bornAt !== other.bornAt;
