/** Counts and logs objects of the store whose content cannot be read, in a bounded number of lines. */
import type { WriteLog } from '../effect.js';
import type { StateChange } from '../log/log-event.js';
import type { GatewayState } from '../state.js';
import type { StoreObjects } from './store-objects.js';

/** Most lines for the objects of one page, watch answer or reader's update; the last line counts the objects left out. */
const MAX_LINES = 8;

/** Most characters of a name or a problem in a line. */
const MAX_TEXT_LENGTH = 256;

const shorten = (text: string): string =>
  text.length > MAX_TEXT_LENGTH ? `${text.slice(0, MAX_TEXT_LENGTH)}…` : text;

/** Counts and logs the objects that were skipped because this gateway cannot read their content. */
export const logUnreadable = (
  { counters }: GatewayState,
  { collection, objects }: StoreObjects,
): WriteLog[] => {
  const unreadable = objects.filter(({ gone, value }) => !gone && value === undefined);
  unreadable.forEach(() => counters.unreadableObjects.add(collection));
  const unnamed = unreadable.length - MAX_LINES;
  return unreadable.slice(0, MAX_LINES).map(({ name, problem }, index) => {
    const isLast = index === MAX_LINES - 1;
    const change: StateChange = {
      event: 'object-unreadable',
      collection,
      name: shorten(name),
      ...(problem !== undefined && { problem: shorten(problem) }),
      ...(isLast && unnamed > 0 && { unnamed }),
    };
    return { type: 'write-log', level: 'warn', part: 'store', change };
  });
};
