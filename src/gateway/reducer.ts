/**
 * The reducer over all events of a gateway. It handles one event, updates the state in place and returns the effects in the
 * order in which the driver must execute them.
 */
import { match } from 'ts-pattern';
import { takeCrashesTold, takeCrashNewsDue } from './crashes/tell-crashes.js';
import type { GatewayEffect } from './effect.js';
import type { GatewayEvent, Started } from './event.js';
import { handleStopRequested, handleStopDue, updateReadiness } from './lifecycle.js';
import { handleRegistrationDue } from './peers/follow-gateways.js';
import { takeReaderNews } from './readers/take-news.js';
import { takeFollower, takeFollowerLeft } from './readers/tell-followers.js';
import {
  dropSource,
  FOLLOW_SPREAD_MS,
  takeReadingDue,
  updateReading,
} from './readers/update-reading.js';
import { noteEra } from './returns/note-era.js';
import { preconnectReplicas } from './replicas/preconnect.js';
import { acceptHeldRequests, acceptRequest } from './requests/accept-request.js';
import { acceptSubquery, takeSubqueryCancelled } from './requests/accept-subquery.js';
import {
  takeAcknowledgement,
  takePeerAlive,
  takePeerLost,
  takeSubqueryAnswer,
  takeSubqueryFailure,
} from './requests/take-subquery-result.js';
import { takeReplicaChecked, wakeRequests } from './requests/broken-attempts.js';
import { takeUnreadable } from './requests/take-unreadable.js';
import { refuseAllHeld } from './requests/hold-request.js';
import { takeCallerLeft, takeRequestDue, takeResult } from './requests/take-result.js';
import { finishPauseRecovery, handleProcessPaused } from './process-pause.js';
import type { GatewayState } from './state.js';
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
  return [...listCollections(state), ...takeReadingDue(state, at)];
};

/** Records the era that an answer of the store gives. */
const recordStoreEra = (
  state: GatewayState,
  { era, at }: { readonly era?: StoreEra; readonly at: number },
  collection?: CollectionName,
): GatewayEffect[] =>
  noteEra(state, era, {
    from: 'store',
    since: at,
    ...(collection !== undefined && { collection }),
  });

/** Runs what depends on the state of the store, after an update from the store or a reader. */
const resumeAfterStoreUpdate = (state: GatewayState, at: number): GatewayEffect[] => [
  ...acceptHeldRequests(state, at),
  ...preconnectReplicas(state),
  ...updateReadiness(state),
  ...updateReading(state, at),
];

const dispatch = (state: GatewayState, event: GatewayEvent): GatewayEffect[] =>
  match(event)
    .with({ type: 'started' }, (started) => handleStarted(state, started))
    .with({ type: 'stood-still' }, (stood) => handleProcessPaused(state, stood))
    .with({ type: 'stop-requested' }, (stop) => handleStopRequested(state, stop))
    .with({ type: 'stop-due' }, (due) => handleStopDue(state, due))
    .with({ type: 'settings-reloaded' }, ({ settings }) => {
      state.settings = settings;
      return [];
    })
    .with({ type: 'request-received' }, (received) => acceptRequest(state, received))
    .with({ type: 'unreadable-refused' }, (refused) => takeUnreadable(state, refused))
    .with({ type: 'caller-left' }, (left) => takeCallerLeft(state, left))
    .with({ type: 'attempt-ended' }, (ended) => takeResult(state, ended))
    .with({ type: 'replica-checked' }, (checked) => takeReplicaChecked(state, checked))
    .with({ type: 'crash-news-due' }, (due) => takeCrashNewsDue(state, due))
    .with({ type: 'crashes-told' }, (told) => [
      ...takeCrashesTold(state, told),
      ...told.news.flatMap(({ fingerprint }) => wakeRequests(state, fingerprint, told.at)),
    ])
    .with({ type: 'request-due' }, (due) => takeRequestDue(state, due))
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
      ...refuseAllHeld(state, failed.at),
    ])
    .with({ type: 'collection-due' }, (due) => handleCollectionDue(state, due))
    .with({ type: 'probe-due' }, () => handleProbeDue(state))
    .with({ type: 'probe-ended' }, (ended) => [
      ...recordStoreEra(state, ended),
      ...handleProbeEnded(state, ended.answered, ended.at),
      ...refuseAllHeld(state, ended.at),
      ...updateReading(state, ended.at),
    ])
    .with({ type: 'registration-due' }, (due) => handleRegistrationDue(state, due))
    .with({ type: 'reading-due' }, ({ at }) => takeReadingDue(state, at))
    .with({ type: 'follower-joined' }, (joined) => [
      ...takeFollower(state, joined),
      ...updateReading(state, joined.at),
    ])
    .with({ type: 'follower-left' }, (left) => {
      takeFollowerLeft(state, left);
      return updateReading(state, left.at);
    })
    .with({ type: 'reader-told' }, (told) => [
      ...takeReaderNews(state, told),
      ...resumeAfterStoreUpdate(state, told.at),
    ])
    .with({ type: 'subquery-received' }, (received) => acceptSubquery(state, received))
    .with({ type: 'subquery-cancelled' }, (cancelled) => takeSubqueryCancelled(state, cancelled))
    .with({ type: 'subquery-acknowledged' }, (acknowledged) =>
      takeAcknowledgement(state, acknowledged),
    )
    .with({ type: 'subquery-answered' }, (answered) => takeSubqueryAnswer(state, answered))
    .with({ type: 'subquery-failed' }, (failed) => takeSubqueryFailure(state, failed))
    .with({ type: 'peer-lost' }, (lost) => {
      dropSource(state, lost.peer);
      return [...takePeerLost(state, lost), ...updateReading(state, lost.at)];
    })
    .with({ type: 'peer-alive' }, (alive) => [
      ...takePeerAlive(state, alive),
      ...updateReading(state, alive.at),
    ])
    .exhaustive();

/** Handles one event. `attempt-ended`, the most frequent one, bypasses the pattern match. */
export const step = (state: GatewayState, event: GatewayEvent): GatewayEffect[] => {
  if (event.type === 'attempt-ended') {
    return takeResult(state, event);
  }
  const effects = dispatch(state, event);
  return state.pauseRecovery === undefined
    ? effects
    : [...effects, ...finishPauseRecovery(state, event.at)];
};
