/** Tells other gateways of requests under which replicas have ended, and takes what they tell. */
import type { GatewayEffect } from '../effect.js';
import type { CrashUpdatesDue, CrashUpdatesReceived } from '../event.js';
import type { PeerRecord } from '../model/peer-record.js';
import type { Fingerprint } from '../model/request.js';
import { registerIfMissing } from '../peers/follow-gateways.js';
import type { GatewayState } from '../state.js';
import { type CrashNews, fromNews, toNews } from './crash-news.js';
import { type CrashKnowledge, joinKnowledge } from './crash-record.js';
import { neighboursOf } from './neighbours.js';
import { SERIOUS_ROUNDS, tellBy, updateKnowledge } from './update-knowledge.js';

/**
 * What is serious is told again so often, in milliseconds, to a part of the neighbours by turns, so that gateways that
 * have just started, or were cut off, hear it from each that tells them within 3 s. Platforms count a gateway as in
 * touch again after 4 s or more.
 */
const TELL_AGAIN_MS = 1_000;
const TURNS = 3;

/** Requests of one message, some 150 bytes each. */
const MOST_TOLD = 64;

const isSerious = ({ rounds }: CrashKnowledge): boolean => rounds >= SERIOUS_ROUNDS;

const seriousOnes = ({ crashes }: GatewayState): readonly Fingerprint[] =>
  [...crashes.memory.all()]
    .filter(([, known]) => isSerious(known))
    .map(([fingerprint]) => fingerprint);

const newsOf = (
  { crashes }: GatewayState,
  fingerprints: readonly Fingerprint[],
  at: number,
): readonly CrashNews[] =>
  fingerprints.map((fingerprint) => toNews(fingerprint, crashes.memory.find(fingerprint, at), at));

const tell = (peers: readonly PeerRecord[], news: readonly CrashNews[]): GatewayEffect[] =>
  peers.length === 0 || news.length === 0 ? [] : [{ type: 'tell-crashes', peers, news }];

/** Tells all neighbours what they have not been told; what finds no room is told with the next message. */
const tellUntold = (state: GatewayState, at: number): GatewayEffect[] => {
  const { untold, told } = state.crashes;
  const fingerprints = [...untold].slice(0, MOST_TOLD);
  fingerprints.forEach((fingerprint) => {
    untold.delete(fingerprint);
    told.add(fingerprint);
  });
  return tell(neighboursOf(state, at), newsOf(state, fingerprints, at));
};

/**
 * Tells what the neighbours do not know of a request whose caller is answered now, without a replica's answer. What is
 * serious goes before the answer: the caller may ask one of them next. The rest can wait, and goes with what else is told.
 */
export const tellBeforeAnswer = (
  state: GatewayState,
  fingerprint: Fingerprint,
  at: number,
): GatewayEffect[] => {
  const { memory, untold, told } = state.crashes;
  if (!untold.has(fingerprint)) {
    return [];
  }
  if (!isSerious(memory.find(fingerprint, at))) {
    return tellBy(state, at);
  }
  untold.delete(fingerprint);
  told.add(fingerprint);
  return tell(neighboursOf(state, at), newsOf(state, [fingerprint], at));
};

/** Tells the neighbours whose turn it is what is serious, again. */
const tellAgain = (state: GatewayState, at: number): GatewayEffect[] => {
  const { crashes } = state;
  if (at < crashes.tellAgainAt) {
    return [];
  }
  crashes.tellAgainAt = at + TELL_AGAIN_MS;
  crashes.turn = (crashes.turn + 1) % TURNS;
  const peers = neighboursOf(state, at).filter((_, index) => index % TURNS === crashes.turn);
  return tell(peers, newsOf(state, seriousOnes(state).slice(0, MOST_TOLD), at));
};

const forgetOld = ({ crashes }: GatewayState, at: number): void => {
  crashes.memory.forgetOld(at);
  const known = crashes.memory.all();
  for (const fingerprints of [crashes.told, crashes.kept]) {
    [...fingerprints]
      .filter((fingerprint) => !known.has(fingerprint))
      .forEach((fingerprint) => fingerprints.delete(fingerprint));
  }
};

/** Has what this gateway learnt first-hand stand in its entry in the store. */
const keepSuspects = (state: GatewayState, at: number): GatewayEffect[] =>
  state.registration.listedGeneration === undefined ? [] : registerIfMissing(state, at);

/** Handles `crash-news-due`. */
export const takeCrashNewsDue = (state: GatewayState, { at }: CrashUpdatesDue): GatewayEffect[] => {
  const { crashes } = state;
  crashes.tellAt = undefined;
  crashes.toldAt = at;
  forgetOld(state, at);
  const told = [...tellUntold(state, at), ...tellAgain(state, at)];
  if (crashes.untold.size > 0) {
    return [...told, ...tellBy(state, at)];
  }
  const isSeriousLeft = seriousOnes(state).length > 0;
  return [
    ...told,
    ...keepSuspects(state, at),
    ...(isSeriousLeft ? tellBy(state, crashes.tellAgainAt) : []),
  ];
};

/** Handles `crashes-told`: takes what is news here, and passes it on. */
export const takeCrashesTold = (
  state: GatewayState,
  { news, from, at }: CrashUpdatesReceived,
): GatewayEffect[] =>
  news.flatMap((each) => {
    const { fingerprint } = each;
    const joined = joinKnowledge(state.crashes.memory.find(fingerprint, at), fromNews(each, at));
    state.crashes.told.add(fingerprint);
    return updateKnowledge(state, fingerprint, joined, { from, isUrgent: true }, at);
  });
