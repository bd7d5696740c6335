/**
 * Knows, after a start, under which requests replicas have ended: gateways keep those in their entries in the store, which
 * are listed before the first request is taken, and before a neighbour may tell.
 */
import type { GatewayEffect } from '../effect.js';
import type { PeerRecord, SuspectedRequest } from '../model/peer-record.js';
import type { GatewayState } from '../state.js';
import { EMPTY_HISTORY, historyFromPeerEntry, historyFromOwnEntry } from './crash-history.js';
import { updateHistory } from './update-history.js';

/** Takes a request that stands in an entry, unless more is known of it. */
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
  return updateHistory(state, fingerprint, known, { from, isUrgent: isOwn }, at);
};

/** Reads the entries of all gateways, this one's first, from each list until one has its own. */
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
