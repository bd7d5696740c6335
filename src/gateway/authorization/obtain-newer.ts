/** Obtains configurations that confirming reads show before they come into force. */
import type { GatewayEffect } from '../effect.js';
import type { GatewayState } from '../state.js';
import { beginList, callNow } from '../store/follow-collection.js';
import { isWatched } from '../store/record-failure.js';

/** Time until a confirming read is repeated that showed a version which a watch is about to deliver, in milliseconds. */
const REPEAT_READ_MS = 30;

/** Number of reads that show such a version before the configuration is listed. */
const WATCHED_REPEATS = 2;

/**
 * Obtains a configuration that a confirming read has shown and that is not in force. A watch mostly delivers it at the same
 * time, so the read is only repeated at first. Then the watch is restarted, which may be pausing, and at last the
 * configuration is listed. A gateway without a watch lists it at once.
 */
export const obtainNewer = (state: GatewayState, version: number, at: number): GatewayEffect[] => {
  const { keyConfirmation, collections, reading } = state;
  const { configuration } = collections;
  const count = keyConfirmation.newer?.version === version ? keyConfirmation.newer.count + 1 : 1;
  keyConfirmation.newer = { version, count };
  const isWatching = reading.isReading && isWatched(configuration);
  if (isWatching && count <= WATCHED_REPEATS) {
    keyConfirmation.repeatReadAt = at + REPEAT_READ_MS;
    return count < WATCHED_REPEATS ? [] : [callNow(configuration)];
  }
  const isFirstList = count === (isWatching ? WATCHED_REPEATS : 0) + 1;
  if (!isFirstList || configuration.mustList) {
    return [];
  }
  beginList(configuration);
  return [callNow(configuration)];
};
