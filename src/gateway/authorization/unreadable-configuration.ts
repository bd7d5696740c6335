/**
 * Confirmation while the store holds a configuration that cannot be read: the last readable one stays in force, and nothing
 * newer can be read. This is known only to a gateway that has seen the unreadable one replace the version in force: between
 * the two there may have been a readable version without the key.
 */
import type { ConfirmationEnded } from '../event.js';
import type { GatewayState } from '../state.js';
import type { ShownConfiguration, StoreChanges } from '../store/store-objects.js';
import { compareEras, comparePositions, type StorePosition } from '../store/store-position.js';

/**
 * Records that changes, which are complete from the position `after` on, have left the configuration unreadable. No
 * readable version was missed if a confirming read at `after` or later has shown what is in force.
 */
export const recordUnreadable = (
  { keyConfirmation }: GatewayState,
  { collection, unreadableSince }: StoreChanges,
  after: StorePosition,
): void => {
  const { verified } = keyConfirmation;
  const isCertain = Number.isFinite(after.revision) && verified !== undefined;
  if (collection !== 'configuration' || unreadableSince === undefined || !isCertain) {
    return;
  }
  if (compareEras(verified.era, after.era) === 0 && comparePositions(verified, after) >= 0) {
    keyConfirmation.unreadable = { era: after.era, revision: unreadableSince };
  }
};

/** What a confirming read confirms: what it shows, or the version in force where nothing newer is readable. */
export const shownKeys = (
  { keyConfirmation, inForce, store }: GatewayState,
  { shown, era = store.era }: ConfirmationEnded,
): Pick<ShownConfiguration, 'version' | 'keysHash'> => {
  const { unreadable } = keyConfirmation;
  const isKnownUnreadable =
    unreadable !== undefined &&
    shown?.writtenAt === unreadable.revision &&
    compareEras(unreadable.era, era) === 0;
  if (!isKnownUnreadable || inForce?.keysHash === undefined) {
    return shown ?? {};
  }
  return { version: inForce.configuration.version, keysHash: inForce.keysHash };
};
