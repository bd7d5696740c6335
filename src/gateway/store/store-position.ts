/**
 * Positions in the history of the store. Revisions rise with each change, but a store that is restored from a backup assigns
 * lost revisions again. Revisions are comparable only within one era, and each restoration raises the era.
 */

/** Era given in an answer of the store; undefined if the store, or a gateway of an earlier build, gives none. */
export type StoreEra = number | undefined;

/** A revision of the store within an era. */
export interface StorePosition {
  readonly era: StoreEra;
  readonly revision: number;
}

/** Orders an absent era before all others. */
const UNNAMED_ERA = -1;

/** Returns a value below, equal to or above 0 if `left` is an earlier, the same or a later era than `right`. */
export const compareEras = (left: StoreEra, right: StoreEra): number =>
  (left ?? UNNAMED_ERA) - (right ?? UNNAMED_ERA);

/** Returns a value below, equal to or above 0 if `left` is older than, the same as or newer than `right`. */
export const comparePositions = (left: StorePosition, right: StorePosition): number =>
  compareEras(left.era, right.era) || left.revision - right.revision;
