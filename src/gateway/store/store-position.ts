/**
 * Where the store stands. Its revisions rise with each change, but a store that returns from a copy gives out again
 * those that it has lost: revisions can be compared within one era only, and eras rise with each such return.
 */

/** The era that an answer of the store names; undefined for a store, or a gateway of an earlier build, that names none. */
export type StoreEra = number | undefined;

/** A moment in the life of the store: all that it held then is known. */
export interface StorePosition {
  readonly era: StoreEra;
  readonly revision: number;
}

/** Before every era that is named. */
const UNNAMED_ERA = -1;

/** Below, at or above 0 as `left` is an earlier, the same or a later era than `right`. */
export const compareEras = (left: StoreEra, right: StoreEra): number =>
  (left ?? UNNAMED_ERA) - (right ?? UNNAMED_ERA);

/** Below, at or above 0 as `left` is older than, the same as or newer than `right`. */
export const comparePositions = (left: StorePosition, right: StorePosition): number =>
  compareEras(left.era, right.era) || left.revision - right.revision;
