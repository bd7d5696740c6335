/**
 * The reducer over all events of a gateway. It handles one event, updates the state in place and returns the effects in the
 * order in which the driver must execute them.
 */
import { match } from 'ts-pattern';
import { logExtraAttempts } from './budget/extra-attempts.js';
import { recordShares } from './budget/usable-share.js';
import {
  confirmAfterPause,
  handleConfirmationAnswer,
  handleConfirmationDue,
  handleConfirmationEnded,
  handleConfirmationRequest,
  updateKeyConfirmation,
} from './authorization/key-confirmation.js';
import { handleCrashUpdates, handleCrashUpdatesDue } from './crashes/publish-crashes.js';
import type { GatewayEffect } from './effect.js';
import type { GatewayEvent, PeerRequestAnswered, PeerRequestReceived, Started } from './event.js';
import { updateReadiness } from './readiness.js';
import { handleRegistrationDue } from './peers/follow-gateways.js';
import { handleTokenAnswer } from './quotas/admit-waiting.js';
import { handleTokenRequest, updateOwners } from './quotas/keep-quota.js';
import { handleQuotasDue } from './quotas/sweep-quotas.js';
import { handleReaderUpdate } from './readers/handle-reader-update.js';
import { handleFollowerJoined, handleFollowerLeft } from './readers/publish-to-followers.js';
import {
  removeSource,
  FOLLOW_SPREAD_MS,
  handleReadingDue,
  updateReading,
} from './readers/update-reading.js';
import { recordEra } from './returns/record-era.js';
import { preconnectReplicas } from './replicas/preconnect.js';
import { routeHeldRequests, handleRequestReceived } from './requests/accept-request.js';
import { handleSubqueryReceived, handleSubqueryCancelled } from './requests/accept-subquery.js';
import {
  handleSubqueryAcknowledged,
  handlePeerAlive,
  handlePeerLost,
  handleSubqueryAnswered,
  handleSubqueryFailed,
} from './requests/subquery-result.js';
import { handleReplicaChecked, progressHeldRequests } from './requests/broken-attempts.js';
import { handleRequestIgnored, handleUnreadableRefused } from './requests/unreadable-requests.js';
import { refuseAllHeldRequests } from './requests/hold-request.js';
import {
  handleCallerLeft,
  handleRequestDue,
  handleAttemptEnded,
} from './requests/attempt-result.js';
import { recordHandover } from './requests/answer-delays.js';
import { handleSchedulingDue, startWaiting } from './requests/start-waiting.js';
import { finishPauseRecovery, handleProcessPaused } from './process-pause.js';
import type { GatewayState } from './state.js';
import { handleStopDue, handleStopRequested } from './stop/handle-stop.js';
import {
  listCollections,
  handleChangesRead,
  handleCollectionDue,
  handlePageRead,
  handleStoreCallFailed,
} from './store/apply-collections.js';
import type { CollectionName } from './store/collection.js';
import { handleProbeEnded, handleProbeDue } from './store/probe-store.js';
import type { StoreEra } from './store/store-position.js';

const handleStarted = (state: GatewayState, { at }: Started): GatewayEffect[] => {
  state.startedAt = at;
  state.reading.followFrom = at + state.random.next() * FOLLOW_SPREAD_MS;
  return [...listCollections(state), ...handleReadingDue(state, at)];
};

/** Records the era that an answer of the store gives. */
const recordStoreEra = (
  state: GatewayState,
  { era, at }: { readonly era?: StoreEra; readonly at: number },
  collection?: CollectionName,
): GatewayEffect[] =>
  recordEra(state, era, {
    from: 'store',
    since: at,
    ...(collection !== undefined && { collection }),
  });

/** Runs what depends on whether the API keys are confirmed. */
const resumeAfterConfirmation = (state: GatewayState, at: number): GatewayEffect[] => [
  ...routeHeldRequests(state, at),
  ...updateReadiness(state),
];

const handlePeerRequest = (state: GatewayState, received: PeerRequestReceived): GatewayEffect[] => {
  const { request } = received;
  switch (request.type) {
    case 'key-confirmation':
      return handleConfirmationRequest(state, received);
    case 'tokens':
      return handleTokenRequest(state, received, request);
  }
};

const handlePeerAnswer = (state: GatewayState, answered: PeerRequestAnswered): GatewayEffect[] => {
  const { answer } = answered;
  switch (answer.type) {
    case 'key-confirmation':
      return [
        ...handleConfirmationAnswer(state, answered, answer),
        ...resumeAfterConfirmation(state, answered.at),
      ];
    case 'tokens':
      return handleTokenAnswer(state, answered, answer);
  }
};

/** Runs what depends on the state of the store, after an update from the store or a reader. */
const resumeAfterStoreUpdate = (state: GatewayState, at: number): GatewayEffect[] => {
  updateOwners(state, at);
  recordShares(state, at);
  return [
    ...updateKeyConfirmation(state, at),
    ...routeHeldRequests(state, at),
    ...preconnectReplicas(state),
    ...updateReadiness(state),
    ...updateReading(state, at),
  ];
};

const dispatch = (state: GatewayState, event: GatewayEvent): GatewayEffect[] =>
  match(event)
    .with({ type: 'started' }, (started) => handleStarted(state, started))
    .with({ type: 'stood-still' }, (paused) => [
      ...handleProcessPaused(state, paused),
      ...confirmAfterPause(state, paused.at),
    ])
    .with({ type: 'stop-requested' }, (stop) => handleStopRequested(state, stop))
    .with({ type: 'stop-due' }, (due) => handleStopDue(state, due))
    .with({ type: 'settings-reloaded' }, ({ settings }) => {
      state.settings = settings;
      return [];
    })
    .with({ type: 'request-received' }, (received) => handleRequestReceived(state, received))
    .with({ type: 'unreadable-refused' }, (refused) => handleUnreadableRefused(state, refused))
    .with({ type: 'request-ignored' }, (ignored) => handleRequestIgnored(state, ignored))
    .with({ type: 'caller-left' }, (left) => handleCallerLeft(state, left))
    .with({ type: 'answer-sent' }, ({ handover, at }) => {
      recordHandover(state.answerDelays, handover.route, at - handover.decidedAt);
      return [];
    })
    .with({ type: 'attempt-ended' }, (ended) => handleAttemptEnded(state, ended))
    .with({ type: 'replica-checked' }, (checked) => handleReplicaChecked(state, checked))
    .with({ type: 'crash-updates-due' }, (due) => handleCrashUpdatesDue(state, due))
    .with({ type: 'crash-updates-received' }, (received) => [
      ...handleCrashUpdates(state, received),
      ...received.news.flatMap(({ fingerprint }) =>
        progressHeldRequests(state, fingerprint, received.at),
      ),
    ])
    .with({ type: 'request-due' }, (due) => handleRequestDue(state, due))
    .with({ type: 'page-read' }, (read) => [
      ...recordStoreEra(state, read, read.page.collection),
      ...handlePageRead(state, read),
      ...resumeAfterStoreUpdate(state, read.at),
    ])
    .with({ type: 'changes-read' }, (read) => [
      ...recordStoreEra(state, read, read.changes.collection),
      ...handleChangesRead(state, read),
      ...resumeAfterStoreUpdate(state, read.at),
    ])
    .with({ type: 'store-call-failed' }, (failed) => [
      ...recordStoreEra(state, failed, failed.collection),
      ...handleStoreCallFailed(state, failed),
      ...refuseAllHeldRequests(state, failed.at),
    ])
    .with({ type: 'collection-due' }, (due) => handleCollectionDue(state, due))
    .with({ type: 'probe-due' }, ({ at }) => handleProbeDue(state, at))
    .with({ type: 'probe-ended' }, (ended) => [
      ...recordStoreEra(state, ended),
      ...handleProbeEnded(state, ended.answered, ended.at),
      ...refuseAllHeldRequests(state, ended.at),
      ...updateReading(state, ended.at),
    ])
    .with({ type: 'confirmation-ended' }, (ended) => [
      ...recordStoreEra(state, ended),
      ...handleProbeEnded(state, ended.answered, ended.at),
      ...handleConfirmationEnded(state, ended),
      ...resumeAfterConfirmation(state, ended.at),
      ...refuseAllHeldRequests(state, ended.at),
      ...updateReading(state, ended.at),
    ])
    .with({ type: 'registration-due' }, (due) => handleRegistrationDue(state, due))
    .with({ type: 'peer-request-received' }, (received) => handlePeerRequest(state, received))
    .with({ type: 'peer-request-answered' }, (answered) => handlePeerAnswer(state, answered))
    .with({ type: 'key-confirmation-due' }, ({ at }) => [
      ...handleConfirmationDue(state, at),
      ...resumeAfterConfirmation(state, at),
    ])
    .with({ type: 'quotas-due' }, ({ at }) => handleQuotasDue(state, at))
    .with({ type: 'scheduling-due' }, () => handleSchedulingDue(state))
    .with({ type: 'reading-due' }, ({ at }) => handleReadingDue(state, at))
    .with({ type: 'follower-joined' }, (joined) => [
      ...handleFollowerJoined(state, joined),
      ...updateReading(state, joined.at),
    ])
    .with({ type: 'follower-left' }, (left) => {
      handleFollowerLeft(state, left);
      return updateReading(state, left.at);
    })
    .with({ type: 'reader-update-received' }, (received) => [
      ...handleReaderUpdate(state, received),
      ...resumeAfterStoreUpdate(state, received.at),
    ])
    .with({ type: 'subquery-received' }, (received) => handleSubqueryReceived(state, received))
    .with({ type: 'subquery-cancelled' }, (cancelled) => handleSubqueryCancelled(state, cancelled))
    .with({ type: 'subquery-acknowledged' }, (acknowledged) =>
      handleSubqueryAcknowledged(state, acknowledged),
    )
    .with({ type: 'subquery-answered' }, (answered) => handleSubqueryAnswered(state, answered))
    .with({ type: 'subquery-failed' }, (failed) => handleSubqueryFailed(state, failed))
    .with({ type: 'peer-lost' }, (lost) => {
      removeSource(state, lost.peer);
      return [...handlePeerLost(state, lost), ...updateReading(state, lost.at)];
    })
    .with({ type: 'peer-alive' }, (alive) => [
      ...handlePeerAlive(state, alive),
      ...updateReading(state, alive.at),
    ])
    .exhaustive();

/** Handles one event. `attempt-ended`, the most frequent one, bypasses the pattern match. */
const handleEvent = (state: GatewayState, event: GatewayEvent): GatewayEffect[] => {
  if (event.type === 'attempt-ended') {
    return handleAttemptEnded(state, event);
  }
  const effects = dispatch(state, event);
  return state.pauseRecovery === undefined
    ? effects
    : [...effects, ...finishPauseRecovery(state, event.at)];
};

/** Handles one event, then starts the waiting attempts for which it made room, and logs the use of retry budgets when due. */
export const step = (state: GatewayState, event: GatewayEvent): GatewayEffect[] => {
  const effects = handleEvent(state, event);
  const started = state.scheduling.changed.size === 0 ? [] : startWaiting(state, event.at);
  const logged = logExtraAttempts(state.extraAttempts, state.gateways, event.at);
  return started.length + logged.length === 0 ? effects : [...effects, ...started, ...logged];
};
