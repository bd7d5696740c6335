/**
 * Restores suspected requests after a start. Gateways keep them in their entries in the store, which are listed before
 * the gateway accepts its first request and before a neighbour may send an update.
 */
import type { GatewayEffect } from '../effect.js';
import type { PeerRecord, SuspectedRequest } from '../model/peer-record.js';
import type { GatewayState } from '../state.js';
import { EMPTY_HISTORY, historyFromPeerEntry, historyFromOwnEntry } from './crash-history.js';
import { keepSuspect } from './kept-suspects.js';
import { updateHistory } from './update-history.js';

/** Restores a suspected request from an entry, unless the gateway already has a history of it. */
const restoreSuspect = (
  state: GatewayState,
  { name: from }: PeerRecord,
  { fingerprint, rounds }: SuspectedRequest,
  at: number,
): GatewayEffect[] => {
  if (state.crashes.histories.find(fingerprint, at) !== EMPTY_HISTORY) {
    return [];
  }
  const isOwn = from === state.settings.node;
  const known = isOwn ? historyFromOwnEntry(rounds, at) : historyFromPeerEntry(rounds, at);
  const effects = updateHistory(state, fingerprint, known, { from, isUrgent: isOwn }, at);
  if (isOwn) {
    keepSuspect(state.crashes, fingerprint);
  }
  return effects;
};

/**
 * Restores the suspects in a changed entry of another gateway. A gateway that was cut off or has just started may have
 * missed the updates about them.
 */
export const restoreEntry = (
  state: GatewayState,
  entry: PeerRecord,
  at: number,
): GatewayEffect[] =>
  entry.name === state.settings.node || !state.crashes.isOwnEntryRead
    ? []
    : (entry.suspects ?? []).flatMap((suspect) => restoreSuspect(state, entry, suspect, at));

/**
 * Restores the suspects in the entries of all gateways, this one's first. Each list is read until one holds this
 * gateway's own entry.
 */
export const restoreSuspects = (state: GatewayState, at: number): GatewayEffect[] => {
  const { crashes, peers, settings } = state;
  if (crashes.isOwnEntryRead) {
    return [];
  }
  const own = peers.find(settings.node);
  crashes.isOwnEntryRead = own !== undefined;
  const others = [...peers.all()].filter(({ name }) => name !== settings.node);
  return [...(own === undefined ? [] : [own]), ...others].flatMap((entry) =>
    (entry.suspects ?? []).flatMap((suspect) => restoreSuspect(state, entry, suspect, at)),
  );
};
