/**
 * Maintains the list of gateways that share replicas and budgets. Each gateway has an entry in the store under its own name,
 * which survives a restart; a gateway writes its entry if it is missing or differs.
 */
import { listSuspects } from '../crashes/kept-suspects.js';
import { restoreSuspects } from '../crashes/restore-suspects.js';
import type { GatewayEffect } from '../effect.js';
import type { RegistrationDue } from '../event.js';
import { isSamePeerRecord, type PeerRecord } from '../model/peer-record.js';
import type { GatewayState } from '../state.js';
import type { CollectionName } from '../store/collection.js';

/** Timeout of a write, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 1_500;

/**
 * Time between two lists until the list of gateways is settled, in milliseconds. A written entry is expected in the list
 * within the same time, and is written again otherwise.
 */
const UNSETTLED_INTERVAL_MS = 1_500;

/** Least time between two writes once the list shows the first one, in milliseconds. */
const MIN_WRITE_INTERVAL_MS = 250;

/** This gateway's entry in its current content. */
export const ownRecord = ({ settings, crashes }: GatewayState): PeerRecord => {
  const { node, zone, peers, capacity } = settings;
  const suspects = listSuspects(crashes);
  return {
    name: node,
    zone,
    address: peers,
    capacity,
    ...(suspects.length > 0 && { suspects }),
  };
};

/** Whether the store holds this gateway's entry with its current content. */
const isOwnEntryCurrent = (state: GatewayState): boolean => {
  const { peers, storeRestores } = state;
  const own = ownRecord(state);
  const listed = peers.find(own.name);
  const isUnconfirmed = storeRestores.unconfirmed.gateways.has(own.name);
  return listed !== undefined && !isUnconfirmed && isSamePeerRecord(listed, own);
};

/** Whether the store has an entry of this gateway, with any content. */
const hasOwnEntry = ({ peers, settings, storeRestores }: GatewayState): boolean => {
  const unconfirmed = storeRestores.unconfirmed.gateways.get(settings.node);
  return unconfirmed === undefined
    ? peers.find(settings.node) !== undefined
    : unconfirmed.type === 'older';
};

/**
 * After the store is restored from a backup, all gateways may have to write their entries. Each waits for a random time, so
 * that about 200 entries are written per second: platforms accept 400 writes per second from all gateways together.
 */
const SPREAD_MS_PER_GATEWAY = 5;

/** Sets a random earliest time at which this gateway writes its entry, if the store has lost it. */
export const delayRegistration = (
  { registration, random, gateways }: GatewayState,
  collection: CollectionName,
  at: number,
): void => {
  if (collection === 'gateways') {
    registration.notBefore = at + random.next() * gateways * SPREAD_MS_PER_GATEWAY;
  }
};

/** Whether the list shows the entry as it was last written. */
const isWriteListed = ({ registration, peers, storeRestores }: GatewayState): boolean => {
  const { written } = registration;
  const listed = written === undefined ? undefined : peers.find(written.name);
  return (
    written !== undefined &&
    listed !== undefined &&
    !storeRestores.unconfirmed.gateways.has(written.name) &&
    isSamePeerRecord(listed, written)
  );
};

/** Earliest time of the next write. */
const nextWriteAt = (state: GatewayState): number => {
  const { writtenAt, notBefore } = state.registration;
  const interval = isWriteListed(state) ? MIN_WRITE_INTERVAL_MS : UNSETTLED_INTERVAL_MS;
  return Math.max(notBefore, writtenAt + interval);
};

/** Writes this gateway's entry if the list lacks it or has other content. */
export const registerIfMissing = (state: GatewayState, at: number): GatewayEffect[] => {
  const { registration } = state;
  const isStopping = state.phase === 'stopping' || state.phase === 'ended';
  if (isOwnEntryCurrent(state) || isStopping) {
    return [];
  }
  const writeAt = nextWriteAt(state);
  if (at < writeAt) {
    return [{ type: 'set-registration-timer', at: writeAt }];
  }
  const record = ownRecord(state);
  registration.writtenAt = at;
  registration.written = record;
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
 * Handles a complete list of gateways from the store or a reader. The list is settled when it contains this gateway's
 * current entry and has not changed since the previous list. Gateways that start together appear in it one after another,
 * and without this rule the first ones would assume that there are no others. Until it is settled, it is listed repeatedly.
 */
export const handleGatewaysListed = (state: GatewayState, at: number): GatewayEffect[] => {
  const { registration, peers } = state;
  const { listedGeneration } = registration;
  registration.listedGeneration = peers.generation;
  const isUnchanged = listedGeneration === undefined || listedGeneration === peers.generation;
  const recalled = restoreSuspects(state, at);
  state.gatewaysSettled ||= isOwnEntryCurrent(state) && isUnchanged;
  const own = [...recalled, ...registerIfMissing(state, at)];
  if (state.gatewaysSettled) {
    return own;
  }
  const dueAt = at + UNSETTLED_INTERVAL_MS;
  return [...own, { type: 'set-collection-timer', collection: 'gateways', at: dueAt }];
};
