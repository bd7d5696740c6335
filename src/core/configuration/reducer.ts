/**
 * The configuration slice: tracks which store objects are in force at this node.
 *
 * Two nodes of each zone watch the store. The others receive changes along a tree, and pull missing
 * ones from any peer whose digest shows a newer revision. The revision in force never decreases,
 * even if the store reports an older one.
 */
import type { Effect } from '../effect.js';
import type { DatagramArrived, Event, LinkMessageArrived, TimerFired } from '../event.js';
import type { CoreState } from '../state.js';
import {
  continueRestore,
  handleObjectRead,
  handleWriteRefused,
  handleObjectRequestFailed,
  handleObjectWritten,
} from './older-store.js';
import { handlePull, cancelPull, pullIfBehind, handleDigest, handlePage } from './pull.js';
import { handlePush } from './push.js';
import { handleStoreHint } from './store-hint.js';
import {
  checkRole,
  updateWatch,
  pollMachines,
  handleStoreFailed,
  handleStoreChanged,
  retryWatch,
} from './store-watch.js';
import { beginSurvey, continueSurvey } from './survey.js';

const handleTimer = (state: CoreState, { key, at }: TimerFired): Effect[] => {
  switch (key.purpose) {
    case 'configuration-exchange':
      return key.subject === 'pull' ? pullIfBehind(state, at) : checkRole(state, at);
    case 'configuration-read':
      return key.subject === 'restore' ? continueRestore(state) : retryWatch(state);
    case 'configuration-machines':
      return pollMachines(state, at);
    case 'configuration-survey':
      return continueSurvey(state, at);
    default:
      return [];
  }
};

const handleLinkMessage = (
  state: CoreState,
  { from, message, at }: LinkMessageArrived,
): Effect[] => {
  switch (message.type) {
    case 'configuration-push':
      return handlePush(state, from, message, at);
    case 'configuration-pull':
      return handlePull(state, from, message);
    case 'configuration-page':
      return handlePage(state, from, message, at);
    case 'store-answered':
      return handleStoreHint(state, at);
    default:
      return [];
  }
};

const handleDatagram = (state: CoreState, { message, at }: DatagramArrived): Effect[] =>
  message.digest === undefined ? [] : handleDigest(state, message.sender.node, message.digest, at);

const reduceStoreEvent = (state: CoreState, event: Event): Effect[] => {
  switch (event.type) {
    case 'store-changed':
      return handleStoreChanged(state, event);
    case 'store-failed':
      return handleStoreFailed(state, event);
    case 'object-read':
      return handleObjectRead(state, event);
    case 'object-written':
      return handleObjectWritten(state, event);
    case 'object-write-refused':
      return handleWriteRefused(state, event);
    case 'object-request-failed':
      return handleObjectRequestFailed(state, event);
    default:
      return [];
  }
};

/** Handles an event of the configuration slice. */
export const reduceConfiguration = (state: CoreState, event: Event): Effect[] => {
  switch (event.type) {
    case 'started':
      return checkRole(state, event.at);
    case 'stop-requested':
      return updateWatch(state, event.at);
    case 'timer-fired':
      return handleTimer(state, event);
    case 'link-message-arrived':
      return handleLinkMessage(state, event);
    case 'datagram-arrived':
      return handleDatagram(state, event);
    case 'link-lost':
      return cancelPull(state, event.peer);
    case 'revision-awaited':
      return beginSurvey(state, event.revision, event.at);
    default:
      return reduceStoreEvent(state, event);
  }
};
