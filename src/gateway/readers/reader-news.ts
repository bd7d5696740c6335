/** What a reader of the store tells the gateways that follow it. */
import type { CollectionName } from '../store/collection.js';
import type { StoreObjects } from '../store/store-objects.js';

/** Names a gateway that follows this one, inside this process. */
export type FollowerId = number;

/** Revisions of the store up to which collections are known; absent where one has not been read. */
export type KnownRevisions = Partial<Readonly<Record<CollectionName, number>>>;

/** A whole collection: objects that it does not hold are gone. */
export type CollectionSnapshot = StoreObjects & {
  readonly type: 'snapshot';
  readonly revision: number;
};

/** What has changed in a collection after one revision and up to another. */
export type CollectionChanges = StoreObjects & {
  readonly type: 'changes';
  readonly after: number;
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
}

/** Everything that a reader tells. */
export type ReaderNews = CollectionSnapshot | CollectionChanges | ReaderStatus;
