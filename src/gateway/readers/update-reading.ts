/**
 * Decides from which gateways this one learns the store's content. In each zone one gateway reads the store and
 * publishes to the others, so that calls to the store grow with the number of zones and not of gateways. A reader that
 * is silent, unreachable or has lost the store is replaced by the next candidate. A gateway without a usable reader
 * reads the store itself. No reader is elected: a gateway reads while it has followers.
 */
import type { GatewayEffect } from '../effect.js';
import type { StateChange } from '../log/log-event.js';
import type { PeerRecord } from '../model/peer-record.js';
import { expireUnconfirmed } from '../returns/expire-unconfirmed.js';
import { collectionsOf, type GatewayState, canServe } from '../state.js';
import { resumeCollections } from '../store/apply-collections.js';
import { stopFollowing } from '../store/follow-collection.js';
import { probeIfNeeded } from '../store/probe-store.js';
import { refreshOutdated } from './refresh-outdated.js';
import { readerCandidates, seedCandidates } from './candidates.js';
import { followTiming, type Source } from './reading-state.js';
import { canRead, knownPositions, publishStatus } from './publish-to-followers.js';

/**
 * Time within which the list of gateways must have been read from the store, in milliseconds. When all gateways start
 * for the first time, it settles after two lists, 1.5 s apart.
 */
const GATEWAY_LIST_WAIT_MS = 4_000;

/**
 * Gateways that start together and can serve from their own lists follow their reader at different times within this
 * span, in milliseconds: the reader is as busy as they are, and sends each about 100 KB.
 */
export const FOLLOW_SPREAD_MS = 1_500;

interface ReaderChoice {
  /** Gateways to follow, the preferred one first. */
  readonly follow: readonly PeerRecord[];
  /** Whether this gateway should read the store itself. */
  readonly shouldRead: boolean;
}

/** Whether a source is current. `pending`: it is not followed yet, or its first status may still arrive in time. */
const sourceStatus = (
  state: GatewayState,
  source: Source | undefined,
  at: number,
): 'current' | 'pending' | 'lost' => {
  const { silenceMs, firstUpdateMs } = followTiming(state.settings.bounds);
  if (source === undefined) {
    return 'pending';
  }
  if (source.isCurrent === undefined) {
    return at - source.requestedAt < firstUpdateMs ? 'pending' : 'lost';
  }
  const isTimely = source.isCurrent && at - source.lastUpdateAt <= silenceMs;
  return isTimely && !source.isIncomparable ? 'current' : 'lost';
};

/** Whether a gateway that is no candidate may read the store itself after all candidates have failed. */
const mayReadAlone = ({ store, settings }: GatewayState, at: number): boolean =>
  store.reachable && at - store.regainedAt >= followTiming(settings.bounds).regainMs;

/**
 * Follows the candidates up to the first one that is current or pending. Where this gateway precedes that candidate, it
 * keeps attempting to read the store.
 */
const chooseFromCandidates = (
  state: GatewayState,
  candidates: readonly PeerRecord[],
  at: number,
): ReaderChoice => {
  const { reading, settings } = state;
  const follow: PeerRecord[] = [];
  let isPreferredReader = false;
  for (const candidate of candidates) {
    if (candidate.name === settings.node) {
      if (canRead(state)) {
        return { follow, shouldRead: true };
      }
      isPreferredReader = true;
      continue;
    }
    follow.push(candidate);
    const status = sourceStatus(state, reading.sources.get(candidate.name), at);
    if (status === 'current') {
      return { follow, shouldRead: isPreferredReader };
    }
    if (status === 'pending') {
      return { follow, shouldRead: isPreferredReader || reading.isReading };
    }
  }
  return { follow, shouldRead: isPreferredReader || reading.isReading || mayReadAlone(state, at) };
};

const isAlone = ({ peers, settings }: GatewayState): boolean =>
  [...peers.all()].every(({ name }) => name === settings.node);

/** Chooses the gateways to follow; undefined while it is too early to choose. */
const chooseReaders = (state: GatewayState, at: number): ReaderChoice | undefined => {
  const { reading, startedAt, store, gatewaysSettled } = state;
  const isGatewayListKnown = gatewaysSettled || !isAlone(state);
  if (isGatewayListKnown) {
    const candidates = readerCandidates(state, at);
    const isEarly = at < reading.followFrom && canServe(state);
    return isEarly && candidates[0]?.name !== state.settings.node
      ? undefined
      : chooseFromCandidates(state, candidates, at);
  }
  const isLate = at - startedAt >= GATEWAY_LIST_WAIT_MS || !store.reachable;
  return isLate ? chooseFromCandidates(state, seedCandidates(state, at), at) : undefined;
};

const followNewSource = (state: GatewayState, peer: PeerRecord, at: number): GatewayEffect[] => {
  const source: Source = {
    peer,
    requestedAt: at,
    lastUpdateAt: at,
    isCurrent: undefined,
    offeredVersion: undefined,
    isIncomparable: false,
  };
  state.reading.sources.set(peer.name, source);
  const change: StateChange = { event: 'reader-followed', reader: peer.name };
  return [
    { type: 'follow-reader', peer, positions: knownPositions(state) },
    { type: 'write-log', level: 'info', part: 'store', change },
  ];
};

const updateSources = (
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
      .flatMap((peer) => followNewSource(state, peer, at)),
    ...dropped.map((reader): GatewayEffect => ({ type: 'unfollow-reader', reader })),
  ];
};

const cancelStoreCalls = (state: GatewayState): GatewayEffect[] =>
  collectionsOf(state).map((collection) => {
    stopFollowing(state.collections[collection]);
    return { type: 'abort-store-call', collection };
  });

const setReading = (state: GatewayState, isReading: boolean): GatewayEffect[] => {
  const { reading, store } = state;
  if (isReading === reading.isReading) {
    return [];
  }
  reading.isReading = isReading;
  const followers = reading.followers.size;
  const change: StateChange = { event: 'reading-changed', isReading, followers };
  const log: GatewayEffect = { type: 'write-log', level: 'info', part: 'store', change };
  if (!isReading) {
    return [log, ...cancelStoreCalls(state)];
  }
  return store.reachable ? [log, ...resumeCollections(state)] : [log];
};

/** Chooses the readers again, applies the choice, and publishes the status to followers where it is due. */
export const updateReading = (state: GatewayState, at: number): GatewayEffect[] => {
  const isEnding = state.phase === 'stopping' || state.phase === 'ended';
  const choice = isEnding ? undefined : chooseReaders(state, at);
  if (choice === undefined) {
    return [...probeIfNeeded(state, at), ...publishStatus(state, at)];
  }
  const shouldRead = choice.shouldRead || state.reading.followers.size > 0;
  return [
    ...updateSources(state, choice.follow, at),
    ...setReading(state, shouldRead),
    ...probeIfNeeded(state, at),
    ...publishStatus(state, at),
  ];
};

/** Handles `reading-due`: expires unconfirmed objects, refreshes outdated state and updates the readers. */
export const handleReadingDue = (state: GatewayState, at: number): GatewayEffect[] => [
  ...expireUnconfirmed(state, at),
  ...refreshOutdated(state, at),
  ...updateReading(state, at),
  { type: 'set-reading-timer', at: at + followTiming(state.settings.bounds).firstUpdateMs },
];

/** Removes a source whose connection was lost: it no longer sends updates. */
export const removeSource = (state: GatewayState, peer: string): void => {
  state.reading.sources.delete(peer);
};
