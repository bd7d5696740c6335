/** What a reader of the store tells the gateways that follow it. */
import type { CollectionName } from '../store/collection.js';
import type { StoreObjects } from '../store/store-objects.js';
import type { StorePosition } from '../store/store-position.js';

/** Names a gateway that follows this one, inside this process. */
export type FollowerId = number;

/** Positions of the store up to which collections are known; absent where one has not been read. */
export type KnownPositions = Partial<Readonly<Record<CollectionName, StorePosition>>>;

/** What news of objects tell of the era that they are of; nothing where none is known, as in earlier builds. */
interface UpdateEra {
  readonly era?: number;
  /** How long ago the reader, or one that told it, first knew of the era, in milliseconds. */
  readonly eraAgeMs?: number;
}

/** A whole collection: objects that it does not hold are gone. */
export type CollectionSnapshot = StoreObjects &
  UpdateEra & {
    readonly type: 'snapshot';
    readonly revision: number;
    /** Names of the objects that the store, since it has returned from a copy, does not list. */
    readonly awaited?: readonly string[];
  };

/** What has changed in a collection after one position and up to another. */
export type CollectionChanges = StoreObjects &
  UpdateEra & {
    readonly type: 'changes';
    readonly after: number;
    /** Era of `after`. */
    readonly afterEra?: number;
    readonly revision: number;
  };

/** Sent at regular times, and at once when it changes. */
export interface ReaderStatus {
  readonly type: 'status';
  /** The reader is in touch with the store and has told all that it knows. */
  readonly isCurrent: boolean;
  /**
   * How long ago the store last showed the reader that it holds nothing newer, in milliseconds; absent
   * before it has, and from readers of an earlier build.
   */
  readonly confirmedMsAgo?: number;
  /** Version of the configuration in force at the reader; absent before the first, and from readers of an earlier build. */
  readonly version?: number;
}

/** Everything that a reader tells. */
export type ReaderUpdate = CollectionSnapshot | CollectionChanges | ReaderStatus;
