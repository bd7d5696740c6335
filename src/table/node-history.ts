/**
 * The part of a history that nodes hold and pass on. The store keeps the whole; a node needs the
 * newest edits only, to know its own by their ids and to give back what the store has lost.
 */
import type { StoreContent, StoreObject } from '../catalog/store-object.js';
import { type EditRecord, NODE_HISTORY_LIMIT } from './sheet.js';

/** The history kept with an object. */
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

/** The object with the newest edits of its history only; the same one when it has no more. */
export const trimHistory = (object: StoreObject): StoreObject => {
  const history = historyOf(object.content);
  return history.length <= NODE_HISTORY_LIMIT
    ? object
    : { ...object, content: withHistory(object.content, history.slice(-NODE_HISTORY_LIMIT)) };
};

/**
 * What a node holds, with the older edits that the store still shows. They are added only where the
 * store shows the oldest edit held as well: with a gap between them, the absence of an edit's id
 * would no longer be proof that it was never applied.
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
