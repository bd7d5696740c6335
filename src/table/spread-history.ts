/**
 * The part of a history that nodes hold and send to each other. The store keeps the whole history; a
 * node needs only the newest edits, to recognise its own by their ids and to restore edits that the
 * store has lost.
 */
import type { StoreContent, StoreObject } from '../catalog/store-object.js';
import { type EditRecord, NODE_HISTORY_LIMIT } from './sheet.js';

/** The history of an object; empty for objects without one. */
export const historyOf = (content: StoreContent | undefined): readonly EditRecord[] => {
  switch (content?.type) {
    case 'sheet':
      return content.sheet.history;
    case 'keys':
      return content.keys.history ?? [];
    case 'agreement':
      return content.agreement.history ?? [];
    default:
      return [];
  }
};

const withHistory = (content: StoreContent, history: readonly EditRecord[]): StoreContent => {
  switch (content.type) {
    case 'sheet':
      return { type: 'sheet', sheet: { ...content.sheet, history } };
    case 'keys':
      return { type: 'keys', keys: { ...content.keys, history } };
    case 'agreement':
      return { type: 'agreement', agreement: { ...content.agreement, history } };
    default:
      return content;
  }
};

/** Drops all but the newest edits from the history; returns `object` itself if it has no more. */
export const trimHistory = (object: StoreObject): StoreObject => {
  const history = historyOf(object.content);
  return history.length <= NODE_HISTORY_LIMIT
    ? object
    : { ...object, content: withHistory(object.content, history.slice(-NODE_HISTORY_LIMIT)) };
};

/**
 * Adds the older edits of the stored history to the history that a node holds. They are added only
 * if the stored history includes the oldest edit held: with a gap between the two, the absence of an
 * edit's id would no longer prove that the edit was never applied.
 */
export const completeHistory = (
  held: StoreContent,
  stored: StoreContent | undefined,
): StoreContent => {
  const newest = historyOf(held);
  const [oldest] = newest;
  if (oldest === undefined || newest.length < NODE_HISTORY_LIMIT) {
    return held;
  }
  const all = historyOf(stored);
  const overlap = all.findIndex(({ edit }) => edit === oldest.edit);
  return overlap <= 0 ? held : withHistory(held, [...all.slice(0, overlap), ...newest]);
};
