/** Publishes crash histories to other gateways, and handles the updates that they send. */
import type { GatewayEffect } from '../effect.js';
import type { CrashUpdatesDue, CrashUpdatesReceived } from '../event.js';
import type { PeerRecord } from '../model/peer-record.js';
import type { Fingerprint } from '../model/request.js';
import { registerIfMissing } from '../peers/follow-gateways.js';
import type { GatewayState } from '../state.js';
import { type CrashUpdate, fromCrashUpdate, toCrashUpdate } from './crash-update.js';
import { type CrashHistory, mergeHistories, SERIOUS_ROUNDS } from './crash-history.js';
import { keepDueFirstRounds, nextFirstRoundAt } from './kept-suspects.js';
import { neighboursOf } from './neighbours.js';
import { schedulePublish, updateHistory } from './update-history.js';

/**
 * Interval, in milliseconds, at which serious requests are published again, to one group of neighbours after the other.
 * A gateway that has just started or was cut off thus receives them within 3 s from each gateway that sends to it.
 * Platforms count a gateway as connected again after 4 s or more.
 */
const REPUBLISH_MS = 1_000;
const REPUBLISH_GROUPS = 3;

/** Requests in one message, about 150 bytes each. */
const MAX_UPDATES_PER_MESSAGE = 64;

const isSerious = ({ rounds }: CrashHistory): boolean => rounds >= SERIOUS_ROUNDS;

const seriousRequests = ({ crashes }: GatewayState): readonly Fingerprint[] =>
  [...crashes.histories.all()]
    .filter(([, known]) => isSerious(known))
    .map(([fingerprint]) => fingerprint);

const updatesOf = (
  { crashes }: GatewayState,
  fingerprints: readonly Fingerprint[],
  at: number,
): readonly CrashUpdate[] =>
  fingerprints.map((fingerprint) =>
    toCrashUpdate(fingerprint, crashes.histories.find(fingerprint, at), at),
  );

const publish = (
  { counters }: GatewayState,
  peers: readonly PeerRecord[],
  updates: readonly CrashUpdate[],
): GatewayEffect[] => {
  if (peers.length === 0 || updates.length === 0) {
    return [];
  }
  counters.crashMessages.addCount(peers.length, 'sent');
  return [{ type: 'send-crash-updates', peers, news: updates }];
};

/** Publishes pending requests to all neighbours. Those beyond the size limit go with the next message. */
const publishPending = (state: GatewayState, at: number): GatewayEffect[] => {
  const { pending, knownToPeers } = state.crashes;
  const fingerprints = [...pending].slice(0, MAX_UPDATES_PER_MESSAGE);
  fingerprints.forEach((fingerprint) => {
    pending.delete(fingerprint);
    knownToPeers.add(fingerprint);
  });
  return publish(state, neighboursOf(state, at), updatesOf(state, fingerprints, at));
};

/**
 * Publishes a pending request whose caller is about to be answered without a replica's answer. A serious request is
 * sent before the answer, since the caller may retry at one of the neighbours. Any other goes with the next batch.
 */
export const publishBeforeAnswer = (
  state: GatewayState,
  fingerprint: Fingerprint,
  at: number,
): GatewayEffect[] => {
  const { histories, pending, knownToPeers } = state.crashes;
  if (!pending.has(fingerprint)) {
    return [];
  }
  if (!isSerious(histories.find(fingerprint, at))) {
    return schedulePublish(state, at);
  }
  pending.delete(fingerprint);
  knownToPeers.add(fingerprint);
  return publish(state, neighboursOf(state, at), updatesOf(state, [fingerprint], at));
};

/** Publishes serious requests again to the group of neighbours whose turn it is. */
const republishSerious = (state: GatewayState, at: number): GatewayEffect[] => {
  const { crashes } = state;
  if (at < crashes.republishAt) {
    return [];
  }
  crashes.republishAt = at + REPUBLISH_MS;
  crashes.republishGroup = (crashes.republishGroup + 1) % REPUBLISH_GROUPS;
  const peers = neighboursOf(state, at).filter(
    (_, index) => index % REPUBLISH_GROUPS === crashes.republishGroup,
  );
  return publish(
    state,
    peers,
    updatesOf(state, seriousRequests(state).slice(0, MAX_UPDATES_PER_MESSAGE), at),
  );
};

const removeExpired = ({ crashes }: GatewayState, at: number): void => {
  crashes.histories.removeExpired(at);
  const known = crashes.histories.all();
  for (const fingerprints of [crashes.knownToPeers, crashes.kept, crashes.firstRounds]) {
    [...fingerprints.keys()]
      .filter((fingerprint) => !known.has(fingerprint))
      .forEach((fingerprint) => fingerprints.delete(fingerprint));
  }
};

/** Writes the suspects that this gateway has itself observed to its entry in the store. */
const storeSuspects = (state: GatewayState, at: number): GatewayEffect[] =>
  state.registration.listedGeneration === undefined ? [] : registerIfMissing(state, at);

/** Handles `crash-updates-due`: publishes pending updates and those due for repetition. */
export const handleCrashUpdatesDue = (
  state: GatewayState,
  { at }: CrashUpdatesDue,
): GatewayEffect[] => {
  const { crashes } = state;
  crashes.publishAt = undefined;
  crashes.publishedAt = at;
  removeExpired(state, at);
  keepDueFirstRounds(crashes, at);
  const published = [...publishPending(state, at), ...republishSerious(state, at)];
  if (crashes.pending.size > 0) {
    return [...published, ...schedulePublish(state, at)];
  }
  const isSeriousLeft = seriousRequests(state).length > 0;
  const nextAt = Math.min(
    isSeriousLeft ? crashes.republishAt : Number.POSITIVE_INFINITY,
    nextFirstRoundAt(crashes),
  );
  return [
    ...published,
    ...storeSuspects(state, at),
    ...(Number.isFinite(nextAt) ? schedulePublish(state, nextAt) : []),
  ];
};

/** Handles `crash-updates-received`: merges the received histories, and forwards those that change. */
export const handleCrashUpdates = (
  state: GatewayState,
  { news: updates, from, at }: CrashUpdatesReceived,
): GatewayEffect[] => {
  state.counters.crashMessages.add('received');
  return updates.flatMap((update) => {
    const { fingerprint } = update;
    const merged = mergeHistories(
      state.crashes.histories.find(fingerprint, at),
      fromCrashUpdate(update, at),
    );
    state.crashes.knownToPeers.add(fingerprint);
    return updateHistory(state, fingerprint, merged, { from, isUrgent: true }, at);
  });
};
