/** Knows again, after a start, under which requests replicas ended: they stand in the gateway's entry in the store. */
import type { GatewayEffect } from '../effect.js';
import type { GatewayState } from '../state.js';
import { NOTHING_KNOWN, recalledKnowledge } from './crash-record.js';
import { updateKnowledge } from './update-knowledge.js';

/** Reads this gateway's entry once, from the first list of gateways; the others are told. */
export const recallSuspects = (state: GatewayState, at: number): GatewayEffect[] => {
  const { crashes, peers, settings } = state;
  const own = peers.find(settings.node);
  if (crashes.isRecalled || own === undefined) {
    return [];
  }
  crashes.isRecalled = true;
  return (own.suspects ?? []).flatMap(({ fingerprint, rounds }) => {
    const isKnown = crashes.memory.find(fingerprint, at) !== NOTHING_KNOWN;
    const origin = { from: settings.node, isUrgent: true };
    const recalled = recalledKnowledge(rounds, at);
    return isKnown ? [] : updateKnowledge(state, fingerprint, recalled, origin, at);
  });
};
