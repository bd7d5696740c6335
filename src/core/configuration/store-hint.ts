/**
 * Hints that the store answers again. Readers retry a failing store with growing delays. A hint
 * comes from a reader whose retry was answered, from a node whose edit was written, and from a peer
 * with a newer revision. A reader acts on one hint per failure, so hints cause at most one retry of
 * each.
 */
import type { StoreAnswered } from '../../protocol/configuration-messages.js';
import type { Effect } from '../effect.js';
import type { CoreState } from '../state.js';
import { HINT_JITTER_MS } from './bounds.js';
import { listReaders } from './readers.js';

const RETRY_TIMER = { purpose: 'configuration-read', subject: '' } as const;

/** Handles a hint: a reader that waits to retry the store does so within `HINT_JITTER_MS`. */
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

/** Sends the readers of all zones the hint that the store has answered with `revision`. */
export const sendStoreHints = (state: CoreState, revision: number, at: number): Effect[] => {
  const message: StoreAnswered = { type: 'store-answered', revision };
  return listReaders(state).flatMap(({ node, address }): Effect[] =>
    node === state.self.node
      ? handleStoreHint(state, at)
      : [{ type: 'send-link', to: node, address, message }],
  );
};

/** Sends the hints if `revision` is newer than the one held by this node. */
export const sendStoreHintsIfNewer = (state: CoreState, revision: number, at: number): Effect[] =>
  revision > state.configuration.revision ? sendStoreHints(state, revision, at) : [];
