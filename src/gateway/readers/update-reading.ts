/**
 * Decides from whom this gateway learns what the store holds. In each zone one gateway reads it and tells
 * the others, so that calls to the store grow with the zones and not with the gateways. A reader that is
 * silent, lost or has lost the store is replaced by the next one in the order of candidates; a gateway
 * that finds none reads the store itself. Nobody is elected: a gateway reads while it is asked to.
 */
import type { GatewayEffect } from '../effect.js';
import type { BeliefChange } from '../log/log-event.js';
import type { PeerRecord } from '../model/peer-record.js';
import { settleUnconfirmed } from '../returns/unconfirmed.js';
import { collectionsOf, type GatewayState, canServe } from '../state.js';
import { resumeCollections } from '../store/apply-collections.js';
import { stopFollowing } from '../store/follow-collection.js';
import { probeIfNeeded } from '../store/probe-store.js';
import { askAnew } from './ask-anew.js';
import { readerCandidates, seedCandidates } from './candidates.js';
import { followTiming, type Source } from './reading-state.js';
import { canRead, knownPositions, tellStatus } from './tell-followers.js';

/**
 * Time in which the list of gateways must have come from the store, in milliseconds. When all start for
 * the first time it settles after two lists, 1.5 s apart.
 */
const ROSTER_PATIENCE_MS = 4_000;

/**
 * Gateways that start together and can serve from what they listed ask their reader at different times
 * within this span, in milliseconds: it is as busy as they are, and sends each some 100 KB.
 */
export const FOLLOW_SPREAD_MS = 1_500;

interface Choice {
  /** Gateways that should tell this one, the preferred one first. */
  readonly follow: readonly PeerRecord[];
  /** This gateway should read the store itself. */
  readonly reads: boolean;
}

/** Whether a source tells all that the store holds; `pending`: it has been asked and may still answer. */
const statusOf = (
  state: GatewayState,
  source: Source | undefined,
  at: number,
): 'current' | 'pending' | 'lost' => {
  const { silenceMs, firstWordMs } = followTiming(state.settings.bounds);
  if (source === undefined) {
    return 'pending';
  }
  if (source.isCurrent === undefined) {
    return at - source.askedAt < firstWordMs ? 'pending' : 'lost';
  }
  const isTimely = source.isCurrent && at - source.heardAt <= silenceMs;
  return isTimely && !source.isIncomparable ? 'current' : 'lost';
};

/** Whether a gateway that is no candidate may read the store itself, now that all candidates have failed. */
const mayReadAlone = ({ store, settings }: GatewayState, at: number): boolean =>
  store.reachable && at - store.regainedAt >= followTiming(settings.bounds).regainMs;

/**
 * Goes through the candidates up to the first that is current, or may be. A gateway that comes before it
 * goes on trying to read the store.
 */
const chooseAmong = (
  state: GatewayState,
  candidates: readonly PeerRecord[],
  at: number,
): Choice => {
  const { reading, settings } = state;
  const follow: PeerRecord[] = [];
  let isPreferred = false;
  for (const candidate of candidates) {
    if (candidate.name === settings.node) {
      if (canRead(state)) {
        return { follow, reads: true };
      }
      isPreferred = true;
      continue;
    }
    follow.push(candidate);
    const status = statusOf(state, reading.sources.get(candidate.name), at);
    if (status === 'current') {
      return { follow, reads: isPreferred };
    }
    if (status === 'pending') {
      return { follow, reads: isPreferred || reading.isReading };
    }
  }
  return { follow, reads: isPreferred || reading.isReading || mayReadAlone(state, at) };
};

const isAlone = ({ peers, settings }: GatewayState): boolean =>
  [...peers.all()].every(({ name }) => name === settings.node);

/** The choice; undefined while it is too early for one. */
const choose = (state: GatewayState, at: number): Choice | undefined => {
  const { reading, startedAt, store, gatewaysSettled } = state;
  const isRosterKnown = gatewaysSettled || !isAlone(state);
  if (isRosterKnown) {
    const candidates = readerCandidates(state, at);
    const isEarly = at < reading.followFrom && canServe(state);
    return isEarly && candidates[0]?.name !== state.settings.node
      ? undefined
      : chooseAmong(state, candidates, at);
  }
  const isLate = at - startedAt >= ROSTER_PATIENCE_MS || !store.reachable;
  return isLate ? chooseAmong(state, seedCandidates(state, at), at) : undefined;
};

const followAnew = (state: GatewayState, peer: PeerRecord, at: number): GatewayEffect[] => {
  const source: Source = {
    peer,
    askedAt: at,
    heardAt: at,
    isCurrent: undefined,
    offeredVersion: undefined,
    isIncomparable: false,
  };
  state.reading.sources.set(peer.name, source);
  const change: BeliefChange = { event: 'reader-followed', reader: peer.name };
  return [
    { type: 'follow-reader', peer, positions: knownPositions(state) },
    { type: 'write-log', level: 'info', part: 'store', change },
  ];
};

const followThese = (
  state: GatewayState,
  wanted: readonly PeerRecord[],
  at: number,
): GatewayEffect[] => {
  const { sources } = state.reading;
  const names = new Set(wanted.map(({ name }) => name));
  const dropped = [...sources.keys()].filter((name) => !names.has(name));
  dropped.forEach((name) => sources.delete(name));
  return [
    ...wanted
      .filter(({ name }) => !sources.has(name))
      .flatMap((peer) => followAnew(state, peer, at)),
    ...dropped.map((reader): GatewayEffect => ({ type: 'unfollow-reader', reader })),
  ];
};

const dropCalls = (state: GatewayState): GatewayEffect[] =>
  collectionsOf(state).map((collection) => {
    stopFollowing(state.collections[collection]);
    return { type: 'drop-store-call', collection };
  });

const setReading = (state: GatewayState, isReading: boolean): GatewayEffect[] => {
  const { reading, store } = state;
  if (isReading === reading.isReading) {
    return [];
  }
  reading.isReading = isReading;
  const followers = reading.followers.size;
  const change: BeliefChange = { event: 'reading-changed', isReading, followers };
  const log: GatewayEffect = { type: 'write-log', level: 'info', part: 'store', change };
  if (!isReading) {
    return [log, ...dropCalls(state)];
  }
  return store.reachable ? [log, ...resumeCollections(state)] : [log];
};

/** Looks again from whom this gateway learns, and tells its followers what is due. */
export const updateReading = (state: GatewayState, at: number): GatewayEffect[] => {
  const isEnding = state.phase === 'stopping' || state.phase === 'ended';
  const choice = isEnding ? undefined : choose(state, at);
  if (choice === undefined) {
    return [...probeIfNeeded(state), ...tellStatus(state, at)];
  }
  const reads = choice.reads || state.reading.followers.size > 0;
  return [
    ...followThese(state, choice.follow, at),
    ...setReading(state, reads),
    ...probeIfNeeded(state),
    ...tellStatus(state, at),
  ];
};

/** Handles `reading-due`. */
export const takeReadingDue = (state: GatewayState, at: number): GatewayEffect[] => [
  ...settleUnconfirmed(state, at),
  ...askAnew(state, at),
  ...updateReading(state, at),
  { type: 'set-reading-timer', at: at + followTiming(state.settings.bounds).firstWordMs },
];

/** A peer is lost: what it told is no longer kept up. */
export const dropSource = (state: GatewayState, peer: string): void => {
  state.reading.sources.delete(peer);
};
