/** The watch of the store: which node runs it, how changes are handled, and when it is retried. */
import { trimHistory } from '../../table/spread-history.js';
import type { Effect } from '../effect.js';
import type { StoreChanged, StoreFailed } from '../event.js';
import type { CoreState } from '../state.js';
import {
  MACHINES_INTERVAL_MS,
  MACHINES_INTERVAL_PER_MEMBER_MS,
  RECOVERY_QUIET_MS,
  ROLE_CHECK_MS,
  START_CHECK_MS,
  MAX_WATCH_RETRY_MS,
  MIN_WATCH_RETRY_MS,
} from './bounds.js';
import {
  finishRestoreIfComplete,
  selectApplicableObjects,
  detectOlderStore,
  watchRevision,
} from './older-store.js';
import { pushToChildren } from './push.js';
import { shareUnchangedRows, createDeltas } from './push-deltas.js';
import { isReader, findOwnRank } from './readers.js';
import { serveIfReady, hasServingPeer } from './readiness.js';
import { sendStoreHints } from './store-hint.js';
import { applyObjects } from './apply-objects.js';

const ROLE_TIMER = { purpose: 'configuration-exchange', subject: '' } as const;
const RETRY_TIMER = { purpose: 'configuration-read', subject: '' } as const;
const MACHINES_TIMER = { purpose: 'configuration-machines', subject: '' } as const;

const watchStore = (state: CoreState): Effect => ({
  type: 'watch-store',
  after: watchRevision(state),
});

/**
 * A starting node pulls from its peers first, because a store that lost writes may be older than
 * their configuration.
 */
const mayWatch = (state: CoreState): boolean =>
  state.phase === 'serving' || (state.phase === 'starting' && !hasServingPeer(state));

const machinesInterval = (state: CoreState): number =>
  MACHINES_INTERVAL_MS + MACHINES_INTERVAL_PER_MEMBER_MS * state.membership.members.size;

const updateMachinePolling = (state: CoreState, at: number): Effect[] => {
  const { watch } = state.configuration;
  const shouldPoll = watch.watching && findOwnRank(state) === 0;
  if (shouldPoll === watch.readsMachines) {
    return [];
  }
  watch.readsMachines = shouldPoll;
  const first = at + MIN_WATCH_RETRY_MS + state.random.nextBelow(MACHINES_INTERVAL_MS);
  return shouldPoll
    ? [{ type: 'set-timer', key: MACHINES_TIMER, at: first }]
    : [{ type: 'cancel-timer', key: MACHINES_TIMER }];
};

/** Starts or stops the watch when this node's role has changed. */
export const updateWatch = (state: CoreState, at: number): Effect[] => {
  const { watch } = state.configuration;
  const shouldWatch = state.membership.joined && mayWatch(state) && isReader(state);
  const effects: Effect[] = [];
  if (shouldWatch && !watch.watching) {
    watch.watching = true;
    watch.failures = 0;
    effects.push(watchStore(state));
  } else if (!shouldWatch && watch.watching) {
    watch.watching = false;
    effects.push({ type: 'cancel-timer', key: RETRY_TIMER }, { type: 'unwatch-store' });
  }
  return [...effects, ...updateMachinePolling(state, at)];
};

/** Checks the role and schedules the next check. */
export const checkRole = (state: CoreState, at: number): Effect[] => {
  const effects = [...updateWatch(state, at), ...serveIfReady(state)];
  const interval = state.phase === 'starting' ? START_CHECK_MS : ROLE_CHECK_MS;
  return [...effects, { type: 'set-timer', key: ROLE_TIMER, at: at + interval }];
};

/**
 * Handles a failure of the store: the watch is retried after a jittered delay whose upper bound
 * doubles. The failure of an earlier request does not postpone a retry caused by a hint.
 */
export const handleStoreFailed = (state: CoreState, event: StoreFailed): Effect[] => {
  const { watch } = state.configuration;
  state.counters.store_failures += 1;
  const precedesHintedRetry = watch.hinted && event.at < watch.hintedRetryAt;
  if (!watch.watching || event.request === 'machines' || precedesHintedRetry) {
    return [];
  }
  const ceiling = Math.min(MAX_WATCH_RETRY_MS, 2 * MIN_WATCH_RETRY_MS * 2 ** watch.failures);
  const wait = MIN_WATCH_RETRY_MS + state.random.nextBelow(ceiling - MIN_WATCH_RETRY_MS);
  watch.failures += 1;
  watch.hinted = false;
  return [{ type: 'set-timer', key: RETRY_TIMER, at: event.at + wait }];
};

/** Retries the watch when the delay after a failure is over. */
export const retryWatch = (state: CoreState): Effect[] =>
  state.configuration.watch.watching ? [watchStore(state)] : [];

/**
 * Whether deferrable requests may be sent: the store answers and did not recover only just now.
 */
export const mayRequestFromStore = (state: CoreState, at: number): boolean => {
  const { failures, quietUntil } = state.configuration.watch;
  return failures === 0 && at >= quietUntil;
};

/** Reads the machine list, unless the store fails or has only just recovered. */
export const pollMachines = (state: CoreState, at: number): Effect[] => {
  const { watch } = state.configuration;
  if (!watch.readsMachines) {
    return [];
  }
  const next = at + machinesInterval(state);
  const read: Effect[] = mayRequestFromStore(state, at) ? [{ type: 'read-machines' }] : [];
  return [...read, { type: 'set-timer', key: MACHINES_TIMER, at: next }];
};

/**
 * Handles the first answer after failures; sends hints to all readers unless this one got a hint.
 */
const handleStoreRecovery = (state: CoreState, { through, at }: StoreChanged): Effect[] => {
  const { watch } = state.configuration;
  const hints = watch.hinted ? [] : sendStoreHints(state, through, at);
  watch.failures = 0;
  watch.hinted = false;
  watch.quietUntil = at + RECOVERY_QUIET_MS;
  return [{ type: 'cancel-timer', key: RETRY_TIMER }, ...hints];
};

const recordStoreAnswer = (state: CoreState, event: StoreChanged): Effect[] => {
  const { watch } = state.configuration;
  watch.seen = true;
  return watch.failures > 0 ? handleStoreRecovery(state, event) : [];
};

/** Handles an answer of the watch: applies its changes and pushes them to peers. */
export const handleStoreChanged = (state: CoreState, event: StoreChanged): Effect[] => {
  const { configuration } = state;
  const answered = recordStoreAnswer(state, event);
  const older = detectOlderStore(state, event);
  if (older !== undefined) {
    return [...answered, ...older];
  }
  if (event.after > configuration.revision) {
    return [...answered, watchStore(state)];
  }
  const objects = selectApplicableObjects(state, event).map(trimHistory);
  const pushed = createDeltas(state, objects);
  applyObjects(state, shareUnchangedRows(state, objects, pushed));
  const isNewer = event.through > configuration.revision;
  const { after, through } = event;
  configuration.revision = Math.max(configuration.revision, through);
  return [
    ...answered,
    ...(isNewer ? pushToChildren(state, { after, through, ...pushed }) : []),
    ...finishRestoreIfComplete(state, through),
    ...serveIfReady(state),
  ];
};
