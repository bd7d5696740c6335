/** Detects a store that is older than what this node has in force. */
import type { StoreObject } from '../../catalog/store-object.js';
import { HISTORY_LIMIT } from '../../table/sheet.js';
import { historyOf } from '../../table/spread-history.js';

const hasLostNewestEdit = (held: StoreObject, read: StoreObject): boolean => {
  const newest = historyOf(held.content).at(-1);
  if (newest === undefined) {
    return false;
  }
  const history = historyOf(read.content);
  const oldest = history[0]?.sheetVersion ?? 0;
  const mayHaveDropped = history.length >= HISTORY_LIMIT && oldest > newest.sheetVersion;
  return !mayHaveDropped && !history.some(({ edit }) => edit === newest.edit);
};

/**
 * Describes in which way `read` is older than `held`; returns undefined when it is not.
 *
 * @param held - the object in force at this node when the read was sent
 * @param read - the object read from the store; undefined when it does not exist
 */
export const findOlderStore = (
  held: StoreObject | undefined,
  read: StoreObject | undefined,
): string | undefined => {
  if (held === undefined) {
    return undefined;
  }
  if (read === undefined) {
    return `the store has no ${held.name}, and version ${held.version} is in force`;
  }
  if (read.version < held.version) {
    return `the store shows version ${read.version} of ${held.name}, and version ${held.version} is in force`;
  }
  if (read.revision < held.revision) {
    return `the store shows revision ${read.revision} of ${held.name}, and revision ${held.revision} is in force`;
  }
  return hasLostNewestEdit(held, read)
    ? `the store's ${held.name} lacks the edit that made version ${held.version}, which is in force`
    : undefined;
};
