/**
 * The reducer over all events of a gateway: takes one event, updates the state in place and returns
 * the effects in the order in which the driver must carry them out.
 */
import { match } from 'ts-pattern';
import type { GatewayEffect } from './effect.js';
import type { GatewayEvent } from './event.js';
import { beginStop, continueStop, updateReadiness } from './lifecycle.js';
import { preconnectReplicas } from './replicas/preconnect.js';
import { acceptRequest } from './requests/accept-request.js';
import { takeCallerLeft, takeRequestDue, takeResult } from './requests/take-result.js';
import type { GatewayState } from './state.js';
import {
  followCollections,
  takeChanges,
  takeCollectionDue,
  takePage,
  takeStoreFailure,
} from './store/apply-collections.js';
import {
  continueCounting,
  register,
  takeGatewayCount,
  takeRegistration,
} from './store/count-gateways.js';
import { probeNow, takeProbe } from './store/probe-store.js';

const dispatch = (state: GatewayState, event: GatewayEvent): GatewayEffect[] =>
  match(event)
    .with({ type: 'started' }, ({ at }) => {
      state.startedAt = at;
      return [...followCollections(state), probeNow(), register(state)];
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
      ...preconnectReplicas(state),
      ...updateReadiness(state),
    ])
    .with({ type: 'changes-read' }, (read) => [
      ...takeChanges(state, read),
      ...preconnectReplicas(state),
      ...updateReadiness(state),
    ])
    .with({ type: 'store-call-failed' }, (failed) => takeStoreFailure(state, failed))
    .with({ type: 'collection-due' }, (due) => takeCollectionDue(state, due))
    .with({ type: 'probe-due' }, () => [probeNow()])
    .with({ type: 'probe-ended' }, ({ answered, at }) => takeProbe(state, answered, at))
    .with({ type: 'gateways-due' }, () => [continueCounting(state)])
    .with({ type: 'registration-ended' }, ({ written, at }) => takeRegistration(state, written, at))
    .with({ type: 'gateways-counted' }, ({ gateways, at }) => takeGatewayCount(state, gateways, at))
    .exhaustive();

/** Takes one event. Ends of attempts, the most frequent, go past the match. */
export const step = (state: GatewayState, event: GatewayEvent): GatewayEffect[] =>
  event.type === 'attempt-ended' ? takeResult(state, event) : dispatch(state, event);
