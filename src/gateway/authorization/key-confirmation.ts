/**
 * Determines whether this gateway's knowledge of API keys is recent enough to admit requests with keys. A confirmation is a
 * point in time: all removals of keys that the store acknowledged before it are in force here. It comes from a confirming
 * read of the store, or from another gateway, and is never later than the time at which the read, or the request to that
 * gateway, was sent.
 */
import type { GatewayEffect } from '../effect.js';
import type { ConfirmationEnded, PeerRequestAnswered, PeerRequestReceived } from '../event.js';
import type { StateChange } from '../log/log-event.js';
import type { KeyConfirmationAnswer } from '../model/peer-request.js';
import type { GatewayState } from '../state.js';
import { askAllReaders, askReader, delayAsking, hasCurrentSource } from './ask-readers.js';
import type { ConfirmationTiming, VersionConfirmation } from './confirmation-state.js';
import { startConfirmingRead } from './confirming-read.js';
import { areKeysConfirmed, requiredTiming } from './key-admission.js';
import { obtainNewer } from './obtain-newer.js';
import { shownKeys } from './unreadable-configuration.js';

/**
 * Time for which requests with keys are held after confirmations become required or after a process pause, in milliseconds.
 * A confirming read takes some milliseconds; after that, the caller is better served by another gateway.
 */
const AWAIT_MS = 250;

/** Time that the first source has before further ones are used, in milliseconds; up to twice as long at random. */
const FIRST_SOURCE_MS = 50;

/** Interval before a reader that has no confirmation yet is asked again, in milliseconds; doubled with each answer. */
const FIRST_REPEAT_MS = 20;

/** Shortest time until the timer expires, in milliseconds. */
const MIN_TIMER_MS = 1;

const versionInForce = ({ inForce }: GatewayState): number | undefined =>
  inForce?.configuration.version;

/** Logs a change of whether the keys are confirmed. */
const logChange = (state: GatewayState, at: number): GatewayEffect[] => {
  const { keyConfirmation } = state;
  const { confirmedAt, source = 'store' } = keyConfirmation;
  const isConfirmed = areKeysConfirmed(state, at);
  if (isConfirmed === keyConfirmation.isConfirmed) {
    return [];
  }
  keyConfirmation.isConfirmed = isConfirmed;
  const ageMs = Math.round(at - confirmedAt);
  const version = versionInForce(state) ?? 0;
  const change: StateChange = isConfirmed
    ? { event: 'keys-confirmed', version, ageMs, source }
    : { event: 'keys-unconfirmed', version, ageMs, source };
  const level = isConfirmed ? 'info' : 'warn';
  return [{ type: 'write-log', level, part: 'configuration', change }];
};

/** Records a confirmation by another gateway. */
const recordPeerConfirmation = (state: GatewayState, confirmedAt: number): void => {
  const { keyConfirmation } = state;
  const timing = requiredTiming(state);
  if (timing !== undefined && confirmedAt > keyConfirmation.peerConfirmedAt) {
    keyConfirmation.peerConfirmedAt = confirmedAt;
    delayAsking(state, timing);
  }
};

/**
 * Records a confirmation of the version in force, if that has the same keys. One of a later version counts once that is in
 * force.
 */
const recordConfirmation = (state: GatewayState, confirmation: VersionConfirmation): void => {
  const { keyConfirmation, inForce } = state;
  const { version, keysHash, confirmedAt, source } = confirmation;
  const known = inForce?.configuration.version ?? Number.NEGATIVE_INFINITY;
  const { pending } = keyConfirmation;
  if (version > known) {
    const isNewer =
      pending === undefined ||
      version > pending.version ||
      (version === pending.version && confirmedAt > pending.confirmedAt);
    keyConfirmation.pending = isNewer ? confirmation : pending;
    return;
  }
  if (version < known || keysHash !== inForce?.keysHash) {
    return;
  }
  if (source !== 'store') {
    recordPeerConfirmation(state, confirmedAt);
  }
  if (confirmedAt > keyConfirmation.confirmedAt) {
    keyConfirmation.confirmedAt = confirmedAt;
    keyConfirmation.source = source;
    keyConfirmation.askAllCount = 0;
    keyConfirmation.uselessAnswers = 0;
  }
};

/** Uses a confirmation that was waiting for its version to come into force. */
const recordPending = (state: GatewayState): void => {
  const { pending } = state.keyConfirmation;
  if (pending !== undefined && pending.version <= (versionInForce(state) ?? 0)) {
    state.keyConfirmation.pending = undefined;
    recordConfirmation(state, pending);
  }
};

/** Times at which the next steps are due. */
const dueTimes = (
  { keyConfirmation, store }: GatewayState,
  timing: ConfirmationTiming,
): { readonly askAllAt: number; readonly readAt: number; readonly expiresAt: number } => {
  const { confirmedAt, askAllNotBefore, isConfirmed } = keyConfirmation;
  const { readNotBefore, readSpread, repeatReadAt } = keyConfirmation;
  const readAgeMs = timing.ownReadAgeMs + timing.ownReadSpreadMs * readSpread;
  const ownReadAt = Math.max(confirmedAt + readAgeMs, readNotBefore);
  return {
    askAllAt: Math.max(confirmedAt + timing.askAllAgeMs, askAllNotBefore),
    // While the store is unreachable, its probes are confirming reads.
    readAt: store.reachable ? Math.min(ownReadAt, repeatReadAt) : Number.POSITIVE_INFINITY,
    expiresAt: isConfirmed ? confirmedAt + timing.limitMs : Number.POSITIVE_INFINITY,
  };
};

const setTimer = (state: GatewayState, timing: ConfirmationTiming, at: number): GatewayEffect[] => {
  const { keyConfirmation } = state;
  const { askAllAt, readAt, expiresAt } = dueTimes(state, timing);
  const dueAt = Math.min(keyConfirmation.askDueAt, askAllAt, readAt, expiresAt);
  const timerAt = Math.max(at + MIN_TIMER_MS, dueAt);
  if (timerAt === keyConfirmation.timerAt) {
    return [];
  }
  keyConfirmation.timerAt = timerAt;
  return [{ type: 'set-key-confirmation-timer', at: timerAt }];
};

/** Takes the steps that are due and sets the timer. */
const takeDueSteps = (
  state: GatewayState,
  timing: ConfirmationTiming,
  at: number,
): GatewayEffect[] => {
  const { askAllAt, readAt } = dueTimes(state, timing);
  return [
    ...(at >= state.keyConfirmation.askDueAt ? askReader(state, timing, at) : []),
    ...(at >= askAllAt ? askAllReaders(state, timing, at) : []),
    ...(at >= readAt ? [startConfirmingRead(state, at)] : []),
    ...logChange(state, at),
    ...setTimer(state, timing, at),
  ];
};

/** Begins to confirm the keys: from the current reader if there is one, otherwise by a read of the store. */
const activate = (state: GatewayState, timing: ConfirmationTiming, at: number): void => {
  const { keyConfirmation, reading, random } = state;
  const isFollower = !reading.isReading && hasCurrentSource(state);
  const laterAt = at + FIRST_SOURCE_MS * (1 + random.next());
  keyConfirmation.isActive = true;
  keyConfirmation.awaitedUntil = at + AWAIT_MS;
  keyConfirmation.askDueAt = isFollower ? at : at + timing.followerAskMs * random.next();
  keyConfirmation.askAllNotBefore = laterAt;
  keyConfirmation.readNotBefore = isFollower ? laterAt : at;
};

/** Ends the confirmation once it is no longer required. */
const deactivate = ({ keyConfirmation }: GatewayState): void => {
  keyConfirmation.isActive = false;
  keyConfirmation.isConfirmed = false;
  keyConfirmation.timerAt = undefined;
  keyConfirmation.asked.clear();
};

/** Updates the confirmation after anything that it depends on may have changed. */
export const updateKeyConfirmation = (state: GatewayState, at: number): GatewayEffect[] => {
  const { keyConfirmation } = state;
  const timing = requiredTiming(state);
  if (timing === undefined) {
    if (keyConfirmation.isActive) {
      deactivate(state);
    }
    return [];
  }
  if (!keyConfirmation.isActive) {
    activate(state, timing, at);
  }
  recordPending(state);
  return takeDueSteps(state, timing, at);
};

/** Handles another gateway's request for this gateway's confirmation. */
export const handleConfirmationRequest = (
  state: GatewayState,
  { exchange, at }: PeerRequestReceived,
): GatewayEffect[] => {
  const ageMs = at - state.keyConfirmation.confirmedAt;
  const version = versionInForce(state);
  const isKnown =
    requiredTiming(state) !== undefined && Number.isFinite(ageMs) && version !== undefined;
  const answer: KeyConfirmationAnswer = {
    type: 'key-confirmation',
    ageMs: isKnown ? Math.max(0, Math.ceil(ageMs)) : null,
    version: isKnown ? version : null,
    keysHash: isKnown ? (state.inForce?.keysHash ?? null) : null,
  };
  return [{ type: 'answer-peer', exchange, answer }];
};

/** Asks a reader again soon that could not confirm the keys, as long as they are unconfirmed. */
const repeatSoon = (state: GatewayState, timing: ConfirmationTiming, at: number): void => {
  const { keyConfirmation, random } = state;
  const waitMs = FIRST_REPEAT_MS * 2 ** keyConfirmation.uselessAnswers * (1 + random.next());
  if (!areKeysConfirmed(state, at) && waitMs < timing.followerAskMs) {
    keyConfirmation.uselessAnswers += 1;
    keyConfirmation.askDueAt = Math.min(keyConfirmation.askDueAt, at + waitMs);
  }
};

/** Handles the answer to this gateway's request. */
export const handleConfirmationAnswer = (
  state: GatewayState,
  { id, peer, at }: PeerRequestAnswered,
  { ageMs, version, keysHash }: KeyConfirmationAnswer,
): GatewayEffect[] => {
  const timing = requiredTiming(state);
  const askedAt = state.keyConfirmation.asked.get(id);
  state.keyConfirmation.asked.delete(id);
  if (timing === undefined || askedAt === undefined) {
    return [];
  }
  if (ageMs !== null && version !== null && keysHash !== null) {
    recordConfirmation(state, { version, keysHash, confirmedAt: askedAt - ageMs, source: peer });
  }
  repeatSoon(state, timing, at);
  return updateKeyConfirmation(state, at);
};

/**
 * Handles the end of a confirming read. An older version than the one in force confirms nothing: it may have been superseded
 * while the read was made, in which case it is repeated, or the store may have been restored from a backup.
 */
export const handleConfirmationEnded = (
  state: GatewayState,
  ended: ConfirmationEnded,
): GatewayEffect[] => {
  const { inForce, keyConfirmation, store } = state;
  const { shown, sentAt, at, era = store.era } = ended;
  if (requiredTiming(state) === undefined || inForce === undefined) {
    return [];
  }
  const { version: known } = inForce.configuration;
  const { version, keysHash } = shownKeys(state, ended);
  if (shown === undefined || version === undefined) {
    keyConfirmation.askAllNotBefore = Math.min(keyConfirmation.askAllNotBefore, at);
    return updateKeyConfirmation(state, at);
  }
  if (keysHash !== undefined) {
    recordConfirmation(state, { version, keysHash, confirmedAt: sentAt, source: 'store' });
  }
  if (version === known && keysHash === inForce.keysHash) {
    keyConfirmation.verified = { era, revision: shown.revision };
  }
  if (version < known && inForce.since >= sentAt) {
    keyConfirmation.repeatReadAt = at;
  }
  return [
    ...(version > known ? obtainNewer(state, version, at) : []),
    ...updateKeyConfirmation(state, at),
  ];
};

/** Handles the timer `key-confirmation`. */
export const handleConfirmationDue = (state: GatewayState, at: number): GatewayEffect[] => {
  state.keyConfirmation.timerAt = undefined;
  return updateKeyConfirmation(state, at);
};

/** Confirms the keys again after a process pause, once the input received in the meantime has been handled. */
export const confirmAfterPause = (state: GatewayState, at: number): GatewayEffect[] => {
  const { keyConfirmation } = state;
  if (requiredTiming(state) === undefined || !keyConfirmation.isActive) {
    return [];
  }
  keyConfirmation.awaitedUntil = at + AWAIT_MS;
  keyConfirmation.askDueAt = at;
  keyConfirmation.askAllCount = 0;
  keyConfirmation.askAllNotBefore = at;
  keyConfirmation.readNotBefore = at;
  keyConfirmation.timerAt = at;
  return [{ type: 'set-key-confirmation-timer', at }];
};
