/**
 * The reducer over all events of a gateway: takes one event, updates the state in place and returns
 * the effects in the order in which the driver must carry them out.
 */
import { match } from 'ts-pattern';
import type { GatewayEffect } from './effect.js';
import type { GatewayEvent } from './event.js';
import { beginStop, continueStop, updateReadiness } from './lifecycle.js';
import { listGateways, takeGateways } from './peers/follow-gateways.js';
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
import { takeCallerLeft, takeRequestDue, takeResult } from './requests/take-result.js';
import type { GatewayState } from './state.js';
import {
  followCollections,
  takeChanges,
  takeCollectionDue,
  takePage,
  takeStoreFailure,
} from './store/apply-collections.js';
import { probeNow, takeProbe } from './store/probe-store.js';

const dispatch = (state: GatewayState, event: GatewayEvent): GatewayEffect[] =>
  match(event)
    .with({ type: 'started' }, ({ at }) => {
      state.startedAt = at;
      return [...followCollections(state), probeNow(), listGateways()];
    })
    .with({ type: 'stop-requested' }, (stop) => beginStop(state, stop))
    .with({ type: 'stop-due' }, (due) => continueStop(state, due))
    .with({ type: 'settings-reloaded' }, ({ settings }) => {
      state.settings = settings;
      return [];
    })
    .with({ type: 'request-received' }, (received) => acceptRequest(state, received))
    .with({ type: 'caller-left' }, (left) => takeCallerLeft(state, left))
    .with({ type: 'attempt-ended' }, (ended) => takeResult(state, ended))
    .with({ type: 'request-due' }, (due) => takeRequestDue(state, due))
    .with({ type: 'page-read' }, (read) => [
      ...takePage(state, read),
      ...acceptHeldRequests(state, read.at),
      ...preconnectReplicas(state),
      ...updateReadiness(state),
    ])
    .with({ type: 'changes-read' }, (read) => [
      ...takeChanges(state, read),
      ...acceptHeldRequests(state, read.at),
      ...preconnectReplicas(state),
      ...updateReadiness(state),
    ])
    .with({ type: 'store-call-failed' }, (failed) => takeStoreFailure(state, failed))
    .with({ type: 'collection-due' }, (due) => takeCollectionDue(state, due))
    .with({ type: 'probe-due' }, () => [probeNow()])
    .with({ type: 'probe-ended' }, ({ answered, at }) => takeProbe(state, answered, at))
    .with({ type: 'gateways-due' }, () => [listGateways()])
    .with({ type: 'gateways-listed' }, (listed) => takeGateways(state, listed))
    .with({ type: 'subquery-received' }, (received) => acceptSubquery(state, received))
    .with({ type: 'subquery-cancelled' }, (cancelled) => takeSubqueryCancelled(state, cancelled))
    .with({ type: 'subquery-acknowledged' }, (acknowledged) =>
      takeAcknowledgement(state, acknowledged),
    )
    .with({ type: 'subquery-answered' }, (answered) => takeSubqueryAnswer(state, answered))
    .with({ type: 'subquery-failed' }, (failed) => takeSubqueryFailure(state, failed))
    .with({ type: 'peer-lost' }, (lost) => takePeerLost(state, lost))
    .with({ type: 'peer-alive' }, (alive) => takePeerAlive(state, alive))
    .exhaustive();

/** Takes one event. Ends of attempts, the most frequent, go past the match. */
export const step = (state: GatewayState, event: GatewayEvent): GatewayEffect[] =>
  event.type === 'attempt-ended' ? takeResult(state, event) : dispatch(state, event);
