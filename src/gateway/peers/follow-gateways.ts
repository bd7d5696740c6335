/**
 * Keeps the list of gateways that share replicas and budgets. Each has an entry in the store under its
 * own name, which a restart keeps; it is written when it is missing or tells something else.
 */
import { recallSuspects } from '../crashes/recall-suspects.js';
import type { GatewayEffect } from '../effect.js';
import type { RegistrationDue } from '../event.js';
import { isSamePeerRecord, type PeerRecord } from '../model/peer-record.js';
import type { GatewayState } from '../state.js';
import type { CollectionName } from '../store/collection.js';

/** Time for an answer, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 1_500;

/**
 * Time between two lists while entries still come, in milliseconds; an entry that was written is expected
 * in the list within the same time, and written again if it is not there.
 */
const UNSETTLED_INTERVAL_MS = 1_500;

/** Suspected requests of one entry, the newest. */
const MAX_SUSPECTS = 32;

/** What this gateway tells of itself. */
export const ownRecord = ({ settings, crashes }: GatewayState): PeerRecord => {
  const { node, zone, peers, capacity } = settings;
  const suspects = [...crashes.kept].slice(-MAX_SUSPECTS).map((fingerprint) => ({
    fingerprint,
    rounds: crashes.memory.all().get(fingerprint)?.rounds ?? 0,
  }));
  return {
    name: node,
    zone,
    address: peers,
    capacity,
    ...(suspects.length > 0 && { suspects }),
  };
};

/** Whether the store holds this gateway's entry as it is now. */
const isOwnEntryCurrent = (state: GatewayState): boolean => {
  const { peers, returns } = state;
  const own = ownRecord(state);
  const listed = peers.find(own.name);
  const isUnconfirmed = returns.unconfirmed.gateways.has(own.name);
  return listed !== undefined && !isUnconfirmed && isSamePeerRecord(listed, own);
};

/** Whether the store has an entry of this gateway, whatever it tells. */
const hasOwnEntry = ({ peers, settings, returns }: GatewayState): boolean => {
  const unconfirmed = returns.unconfirmed.gateways.get(settings.node);
  return unconfirmed === undefined
    ? peers.find(settings.node) !== undefined
    : unconfirmed.type === 'older';
};

/**
 * After a return of the store all gateways may have to write their entries. Each does at a time of its own, so that some
 * 200 are written a second: platforms take 400 writes a second of all gateways together.
 */
const SPREAD_MS_PER_GATEWAY = 5;

/** Chooses when this gateway writes its entry, if the store has lost it. */
export const delayRegistration = (
  { registration, random, gateways }: GatewayState,
  collection: CollectionName,
  at: number,
): void => {
  if (collection === 'gateways') {
    registration.notBefore = at + random.next() * gateways * SPREAD_MS_PER_GATEWAY;
  }
};

/** Writes this gateway's entry where the list lacks it or has another. */
export const registerIfMissing = (state: GatewayState, at: number): GatewayEffect[] => {
  const { registration } = state;
  const isAwaitingList = at - registration.writtenAt < UNSETTLED_INTERVAL_MS;
  const isStopping = state.phase === 'stopping' || state.phase === 'ended';
  if (isOwnEntryCurrent(state) || isAwaitingList || isStopping) {
    return [];
  }
  if (at < registration.notBefore) {
    return [{ type: 'set-registration-timer', at: registration.notBefore }];
  }
  registration.writtenAt = at;
  const record = ownRecord(state);
  const replace = hasOwnEntry(state);
  return [
    {
      type: 'call-store',
      call: { type: 'register', record, replace, timeoutMs: RESPONSE_TIMEOUT_MS },
    },
    { type: 'set-registration-timer', at: at + UNSETTLED_INTERVAL_MS },
  ];
};

/** Handles `registration-due`. */
export const handleRegistrationDue = (
  state: GatewayState,
  { at }: RegistrationDue,
): GatewayEffect[] => registerIfMissing(state, at);

/**
 * Takes note that the list is complete, as the store or a reader has it. It is settled when it holds this
 * gateway and does not change any more: gateways that start together come into it one by one, and the
 * first ones would take themselves for the only ones. Until then it is listed again and again.
 */
export const handleGatewaysListed = (state: GatewayState, at: number): GatewayEffect[] => {
  const { registration, peers } = state;
  const { listedGeneration } = registration;
  registration.listedGeneration = peers.generation;
  const isUnchanged = listedGeneration === undefined || listedGeneration === peers.generation;
  const recalled = recallSuspects(state, at);
  state.gatewaysSettled ||= isOwnEntryCurrent(state) && isUnchanged;
  const own = [...recalled, ...registerIfMissing(state, at)];
  if (state.gatewaysSettled) {
    return own;
  }
  const dueAt = at + UNSETTLED_INTERVAL_MS;
  return [...own, { type: 'set-collection-timer', collection: 'gateways', at: dueAt }];
};
