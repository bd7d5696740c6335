/** The collections of the store that a gateway follows, and the calls by which it does. */

/** `configuration` has one object; `replicas` has one for each live incarnation. */
export type CollectionName = 'configuration' | 'replicas';

/** All collections that are followed. */
export const COLLECTION_NAMES: readonly CollectionName[] = ['configuration', 'replicas'];

/** Reads a page of all objects, those after the name `after`. */
export interface ListCall {
  readonly type: 'list';
  readonly collection: CollectionName;
  readonly after?: string;
  readonly timeoutMs: number;
}

/** Waits for changes after `revision`, for `waitMs` at most. */
export interface WatchCall {
  readonly type: 'watch';
  readonly collection: CollectionName;
  readonly revision: number;
  readonly waitMs: number;
  readonly timeoutMs: number;
}

/** A call to the store. */
export type StoreCall = ListCall | WatchCall;
