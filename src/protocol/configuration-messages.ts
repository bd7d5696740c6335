/** Messages that distribute store objects between nodes, sent over TCP. */
import type { StoreObject } from '../catalog/store-object.js';
import type { SheetDelta } from '../table/sheet-delta.js';

/** All objects that changed in the store after revision `after`, up to and including `through`. */
export interface ConfigurationPush {
  readonly type: 'configuration-push';
  readonly after: number;
  readonly through: number;
  readonly objects: readonly StoreObject[];
  /** Changed sheets that are sent as deltas; absent for none. */
  readonly deltas?: readonly SheetDelta[];
}

/** Requests the objects that changed after revision `after`; the answer is one page. */
export interface ConfigurationPull {
  readonly type: 'configuration-pull';
  readonly after: number;
}

/** Answers a pull with the first objects after revision `after`, in the order of their revisions. */
export interface ConfigurationPage {
  readonly type: 'configuration-page';
  readonly after: number;
  readonly objects: readonly StoreObject[];
  /** Value of `after` for the next pull; absent on the last page. */
  readonly next?: number;
  /** The sender holds all changes of the store up to this revision. */
  readonly revision: number;
}

/** Tells a reader that the store has just answered the sender, so that it can retry without waiting. */
export interface StoreAnswered {
  readonly type: 'store-answered';
  /** The store's revision in that answer. */
  readonly revision: number;
}

/** Any message about the configuration. */
export type ConfigurationMessage =
  ConfigurationPush | ConfigurationPull | ConfigurationPage | StoreAnswered;
