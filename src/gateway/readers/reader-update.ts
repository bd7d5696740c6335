/** The updates that a reader of the store sends to its followers. */
import type { CollectionName } from '../store/collection.js';
import type { StoreObjects } from '../store/store-objects.js';
import type { StorePosition } from '../store/store-position.js';

/** Identifies a follower of this gateway within this process. */
export type FollowerId = number;

/** The store positions up to which collections are known; absent for a collection that has not been read. */
export type KnownPositions = Partial<Readonly<Record<CollectionName, StorePosition>>>;

/** The era of the objects in an update. Both fields are absent where the era is unknown, and from earlier builds. */
interface UpdateEra {
  readonly era?: number;
  /** How long ago the reader, or a gateway that it follows, first learnt of the era, in milliseconds. */
  readonly eraAgeMs?: number;
}

/** A complete collection: objects that it does not contain are gone. */
export type CollectionSnapshot = StoreObjects &
  UpdateEra & {
    readonly type: 'snapshot';
    readonly revision: number;
    /** Names of the objects that the store has not listed since it was restored from a backup. */
    readonly awaited?: readonly string[];
  };

/** The changes of a collection from one position up to another. */
export type CollectionChanges = StoreObjects &
  UpdateEra & {
    readonly type: 'changes';
    readonly after: number;
    /** Era of the position `after`. */
    readonly afterEra?: number;
    readonly revision: number;
  };

/** The status of a reader, sent at regular intervals and at once when `isCurrent` changes. */
export interface ReaderStatus {
  readonly type: 'status';
  /** The reader can read the store, and its updates cover everything that it has read. */
  readonly isCurrent: boolean;
  /**
   * How long ago the store last confirmed to the reader that it holds nothing newer, in milliseconds; absent before the
   * first confirmation, and from readers of an earlier build.
   */
  readonly confirmedMsAgo?: number;
  /**
   * Version of the configuration in force at the reader; absent before the first, and from readers of an earlier build.
   */
  readonly version?: number;
}

/** Any update of a reader. */
export type ReaderUpdate = CollectionSnapshot | CollectionChanges | ReaderStatus;
