/**
 * Hints that the store answers again. Readers try a failing store less and less often; a reader
 * whose own try was answered, a node whose edit has just been written, and whoever shows a newer
 * revision know better. A reader acts on one hint for each of its failures, so that hints bring no
 * more than one try of each.
 */
import type { StoreAnswered } from '../../protocol/configuration-messages.js';
import type { Effect } from '../effect.js';
import type { CoreState } from '../state.js';
import { HINT_JITTER_MS } from './bounds.js';
import { listReaders } from './readers.js';

const RETRY_TIMER = { purpose: 'configuration-read', subject: '' } as const;

/** Takes a hint: a reader that waits to try the store again does so within a moment. */
export const handleStoreHint = (state: CoreState, at: number): Effect[] => {
  const { watch } = state.configuration;
  const isWaiting = watch.watching && watch.failures > 0 && !watch.hinted;
  if (!isWaiting) {
    return [];
  }
  watch.hinted = true;
  watch.hintedRetryAt = at + state.random.nextBelow(HINT_JITTER_MS);
  return [{ type: 'set-timer', key: RETRY_TIMER, at: watch.hintedRetryAt }];
};

/** Tells the readers of all zones that the store has answered with `revision`. */
export const sendStoreHints = (state: CoreState, revision: number, at: number): Effect[] => {
  const message: StoreAnswered = { type: 'store-answered', revision };
  return listReaders(state).flatMap(({ node, address }): Effect[] =>
    node === state.self.node
      ? handleStoreHint(state, at)
      : [{ type: 'send-link', to: node, address, message }],
  );
};

/** The same, if `revision` is news to this node. */
export const sendStoreHintsIfNewer = (state: CoreState, revision: number, at: number): Effect[] =>
  revision > state.configuration.revision ? sendStoreHints(state, revision, at) : [];
