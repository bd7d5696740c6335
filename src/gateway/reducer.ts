/**
 * The reducer over all events of a gateway: takes one event, updates the state in place and returns
 * the effects in the order in which the driver must carry them out.
 */
import { match } from 'ts-pattern';
import { handleCrashUpdates, handleCrashUpdatesDue } from './crashes/publish-crashes.js';
import type { GatewayEffect } from './effect.js';
import type { GatewayEvent, Started } from './event.js';
import { beginStop, continueStop, updateReadiness } from './lifecycle.js';
import { takeRegistrationDue } from './peers/follow-gateways.js';
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
import { handleUnreadableRefused } from './requests/unreadable-requests.js';
import { refuseAllHeldRequests } from './requests/hold-request.js';
import {
  handleCallerLeft,
  handleRequestDue,
  handleAttemptEnded,
} from './requests/attempt-result.js';
import { endStandstill, takeStoodStill } from './standstill.js';
import type { GatewayState } from './state.js';
import {
  listCollections,
  takeChanges,
  takeCollectionDue,
  takePage,
  takeStoreFailure,
} from './store/apply-collections.js';
import type { CollectionName } from './store/collection.js';
import { takeProbe, takeProbeDue } from './store/probe-store.js';
import type { StoreEra } from './store/store-position.js';

const start = (state: GatewayState, { at }: Started): GatewayEffect[] => {
  state.startedAt = at;
  state.reading.followFrom = at + state.random.next() * FOLLOW_SPREAD_MS;
  return [...listCollections(state), ...handleReadingDue(state, at)];
};

/** Takes note of the era that an answer of the store names. */
const noteStoreEra = (
  state: GatewayState,
  { era, at }: { readonly era?: StoreEra; readonly at: number },
  collection?: CollectionName,
): GatewayEffect[] =>
  recordEra(state, era, {
    from: 'store',
    since: at,
    ...(collection !== undefined && { collection }),
  });

/** What follows when more of the store is known, wherever it came from. */
const useKnowledge = (state: GatewayState, at: number): GatewayEffect[] => [
  ...routeHeldRequests(state, at),
  ...preconnectReplicas(state),
  ...updateReadiness(state),
  ...updateReading(state, at),
];

const dispatch = (state: GatewayState, event: GatewayEvent): GatewayEffect[] =>
  match(event)
    .with({ type: 'started' }, (started) => start(state, started))
    .with({ type: 'stood-still' }, (stood) => takeStoodStill(state, stood))
    .with({ type: 'stop-requested' }, (stop) => beginStop(state, stop))
    .with({ type: 'stop-due' }, (due) => continueStop(state, due))
    .with({ type: 'settings-reloaded' }, ({ settings }) => {
      state.settings = settings;
      return [];
    })
    .with({ type: 'request-received' }, (received) => handleRequestReceived(state, received))
    .with({ type: 'unreadable-refused' }, (refused) => handleUnreadableRefused(state, refused))
    .with({ type: 'caller-left' }, (left) => handleCallerLeft(state, left))
    .with({ type: 'attempt-ended' }, (ended) => handleAttemptEnded(state, ended))
    .with({ type: 'replica-checked' }, (checked) => handleReplicaChecked(state, checked))
    .with({ type: 'crash-news-due' }, (due) => handleCrashUpdatesDue(state, due))
    .with({ type: 'crashes-told' }, (told) => [
      ...handleCrashUpdates(state, told),
      ...told.news.flatMap(({ fingerprint }) => progressHeldRequests(state, fingerprint, told.at)),
    ])
    .with({ type: 'request-due' }, (due) => handleRequestDue(state, due))
    .with({ type: 'page-read' }, (read) => [
      ...noteStoreEra(state, read, read.page.collection),
      ...takePage(state, read),
      ...useKnowledge(state, read.at),
    ])
    .with({ type: 'changes-read' }, (read) => [
      ...noteStoreEra(state, read, read.changes.collection),
      ...takeChanges(state, read),
      ...useKnowledge(state, read.at),
    ])
    .with({ type: 'store-call-failed' }, (failed) => [
      ...noteStoreEra(state, failed, failed.collection),
      ...takeStoreFailure(state, failed),
      ...refuseAllHeldRequests(state, failed.at),
    ])
    .with({ type: 'collection-due' }, (due) => takeCollectionDue(state, due))
    .with({ type: 'probe-due' }, () => takeProbeDue(state))
    .with({ type: 'probe-ended' }, (ended) => [
      ...noteStoreEra(state, ended),
      ...takeProbe(state, ended.answered, ended.at),
      ...refuseAllHeldRequests(state, ended.at),
      ...updateReading(state, ended.at),
    ])
    .with({ type: 'registration-due' }, (due) => takeRegistrationDue(state, due))
    .with({ type: 'reading-due' }, ({ at }) => handleReadingDue(state, at))
    .with({ type: 'follower-joined' }, (joined) => [
      ...handleFollowerJoined(state, joined),
      ...updateReading(state, joined.at),
    ])
    .with({ type: 'follower-left' }, (left) => {
      handleFollowerLeft(state, left);
      return updateReading(state, left.at);
    })
    .with({ type: 'reader-told' }, (told) => [
      ...handleReaderUpdate(state, told),
      ...useKnowledge(state, told.at),
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

/** Takes one event. Ends of attempts, the most frequent, go past the match. */
export const step = (state: GatewayState, event: GatewayEvent): GatewayEffect[] => {
  if (event.type === 'attempt-ended') {
    return handleAttemptEnded(state, event);
  }
  const effects = dispatch(state, event);
  return state.outdated === undefined ? effects : [...effects, ...endStandstill(state, event.at)];
};
