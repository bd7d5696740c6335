/**
 * Knows, after a start, under which requests replicas have ended: gateways keep those in their entries in the store, which
 * are listed before the first request is taken, and before a neighbour may tell.
 */
import type { GatewayEffect } from '../effect.js';
import type { PeerRecord, SuspectedRequest } from '../model/peer-record.js';
import type { GatewayState } from '../state.js';
import { NOTHING_KNOWN, knowledgeOfOther, recalledKnowledge } from './crash-record.js';
import { updateKnowledge } from './update-knowledge.js';

/** Takes a request that stands in an entry, unless more is known of it. */
const recall = (
  state: GatewayState,
  { name: from }: PeerRecord,
  { fingerprint, rounds }: SuspectedRequest,
  at: number,
): GatewayEffect[] => {
  if (state.crashes.memory.find(fingerprint, at) !== NOTHING_KNOWN) {
    return [];
  }
  const isOwn = from === state.settings.node;
  const known = isOwn ? recalledKnowledge(rounds, at) : knowledgeOfOther(rounds, at);
  return updateKnowledge(state, fingerprint, known, { from, isUrgent: isOwn }, at);
};

/** Reads the entries of all gateways, this one's first, from each list until one has its own. */
export const recallSuspects = (state: GatewayState, at: number): GatewayEffect[] => {
  const { crashes, peers, settings } = state;
  if (crashes.isRecalled) {
    return [];
  }
  const own = peers.find(settings.node);
  crashes.isRecalled = own !== undefined;
  const others = [...peers.all()].filter(({ name }) => name !== settings.node);
  return [...(own === undefined ? [] : [own]), ...others].flatMap((entry) =>
    (entry.suspects ?? []).flatMap((suspect) => recall(state, entry, suspect, at)),
  );
};
