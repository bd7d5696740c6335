/** Tells the gateways that follow this one what it reads from the store. */
import type { GatewayEffect } from '../effect.js';
import type { FollowerJoined, FollowerLeft } from '../event.js';
import type { GatewayConfiguration } from '../model/route.js';
import { collectionsOf, type GatewayState } from '../state.js';
import { applyObjects } from '../store/apply-objects.js';
import type { CollectionName } from '../store/collection.js';
import { confirmedAt } from '../store/confirmation.js';
import { positionOf } from '../store/follow-collection.js';
import { hasRepeatedFailures } from '../store/record-failure.js';
import type { StoreChanges, StoreObjects } from '../store/store-objects.js';
import { comparePositions, type StorePosition } from '../store/store-position.js';
import type { FollowerId, KnownPositions, ReaderNews, ReaderStatus } from './reader-news.js';
import { CONFIGURATION_OBJECT, newsEra, objectsNamed, snapshotOf } from './news-content.js';
import { followTiming } from './reading-state.js';

const isComplete = (state: GatewayState): boolean =>
  collectionsOf(state).every((name) => state.collections[name].revision !== undefined);

/**
 * Whether this gateway can read the store. Probes alone do not show it: the store may refuse new connections
 * and serve those that are open.
 */
export const canRead = (state: GatewayState): boolean =>
  state.store.reachable &&
  !collectionsOf(state).some((name) => hasRepeatedFailures(state.collections[name]));

/** Whether what this gateway tells is all that the store holds. */
const isCurrent = (state: GatewayState): boolean =>
  state.reading.isReading && canRead(state) && isComplete(state);

/** Up to where this gateway knows the collections; nothing of `unknown`, so that all of it is told. */
export const knownPositions = (state: GatewayState, unknown?: CollectionName): KnownPositions =>
  Object.fromEntries(
    collectionsOf(state).flatMap((name) => {
      const position = positionOf(state.collections[name]);
      return position === undefined || name === unknown ? [] : [[name, position]];
    }),
  );

const statusOf = (state: GatewayState, at: number): ReaderStatus => {
  const confirmedMsAgo = at - confirmedAt(state);
  const version = state.inForce?.configuration.version;
  return {
    type: 'status',
    isCurrent: isCurrent(state),
    ...(Number.isFinite(confirmedMsAgo) && { confirmedMsAgo }),
    ...(version !== undefined && { version }),
  };
};

const tell = (followers: readonly FollowerId[], news: ReaderNews): GatewayEffect[] =>
  followers.length === 0 ? [] : [{ type: 'tell-followers', followers, news }];

const toldFollowers = ({ reading }: GatewayState): readonly FollowerId[] =>
  [...reading.followers].filter(([, { isTold }]) => isTold).map(([id]) => id);

const lacking = (
  { reading, collections }: GatewayState,
  followers: readonly FollowerId[],
  name: CollectionName,
): readonly FollowerId[] =>
  followers.filter((id) => {
    const told = reading.followers.get(id)?.positions[name];
    const known = positionOf(collections[name]);
    return told === undefined || known === undefined || comparePositions(told, known) !== 0;
  });

/** Tells those that have just come all that they lack, once this gateway knows it. */
export const tellNewcomers = (state: GatewayState, at: number): GatewayEffect[] => {
  const { followers } = state.reading;
  const newcomers = [...followers].filter(([, { isTold }]) => !isTold).map(([id]) => id);
  if (newcomers.length === 0 || !isComplete(state)) {
    return [];
  }
  const snapshots = collectionsOf(state).flatMap((name) => {
    const lackingIt = lacking(state, newcomers, name);
    const snapshot = lackingIt.length === 0 ? undefined : snapshotOf(state, name, at);
    return snapshot === undefined ? [] : tell(lackingIt, snapshot);
  });
  newcomers.forEach((id) => followers.set(id, { positions: {}, isTold: true }));
  return [...snapshots, ...tell(newcomers, statusOf(state, at))];
};

/** Tells all of a collection. */
const tellSnapshot = (
  state: GatewayState,
  collection: CollectionName,
  at: number,
): GatewayEffect[] => {
  const followers = toldFollowers(state);
  const snapshot = followers.length === 0 ? undefined : snapshotOf(state, collection, at);
  const told = snapshot === undefined ? [] : tell(followers, snapshot);
  return [...told, ...tellNewcomers(state, at)];
};

/** Tells what has changed since a position. */
export const tellChanges = (
  state: GatewayState,
  changes: StoreChanges,
  { era: afterEra, revision: after }: StorePosition,
  at: number,
): GatewayEffect[] => {
  const { collection, objects, revision } = changes;
  const { era } = state.collections[collection];
  // Objects and collection go together in `changes`; the union of collections cannot say so.
  const read = { collection, objects } as StoreObjects;
  return tell(toldFollowers(state), {
    type: 'changes',
    ...read,
    revision,
    after,
    ...(afterEra !== undefined && { afterEra }),
    ...newsEra(state, era, at),
  });
};

/**
 * Tells what has changed in a collection since the position `after`, by the names of what has: nothing is told
 * again that followers know. Where nothing was known before, all of it is told.
 */
export const tellNamed = (
  state: GatewayState,
  collection: CollectionName,
  names: ReadonlySet<string>,
  after: StorePosition | undefined,
  at: number,
): GatewayEffect[] => {
  const { revision } = state.collections[collection];
  if (after === undefined || revision === undefined) {
    return tellSnapshot(state, collection, at);
  }
  const changes =
    toldFollowers(state).length === 0
      ? []
      : tellChanges(state, { ...objectsNamed(state, collection, names, at), revision }, after, at);
  return [...changes, ...tellNewcomers(state, at)];
};

/** Tells followers that this gateway lives and whether it is current, where that is due or has changed. */
export const tellStatus = (state: GatewayState, at: number): GatewayEffect[] => {
  const { reading, settings } = state;
  const status = statusOf(state, at);
  const { heartbeatMs } = followTiming(settings.bounds);
  const isDue = at - reading.toldAt >= heartbeatMs || reading.toldCurrent !== status.isCurrent;
  const followers = isDue ? toldFollowers(state) : [];
  if (followers.length === 0) {
    return [];
  }
  reading.toldAt = at;
  reading.toldCurrent = status.isCurrent;
  return tell(followers, status);
};

/** Takes a configuration that a follower knows and the store has lost, and tells it to all followers. */
const takeOffered = (
  state: GatewayState,
  value: GatewayConfiguration,
  at: number,
): GatewayEffect[] => {
  if (value.version <= (state.inForce?.configuration.version ?? Number.NEGATIVE_INFINITY)) {
    return [];
  }
  const objects = [{ name: CONFIGURATION_OBJECT, gone: false, value }];
  const { configuration } = state.collections;
  return [
    ...applyObjects(state, { collection: 'configuration', objects }, at, 'a follower'),
    ...tellNamed(
      state,
      'configuration',
      new Set([CONFIGURATION_OBJECT]),
      positionOf(configuration),
      at,
    ),
  ];
};

/** Handles `follower-joined`; one that missed something joins again. */
export const takeFollower = (
  state: GatewayState,
  { follower, positions, configuration, at }: FollowerJoined,
): GatewayEffect[] => {
  state.reading.followers.set(follower, { positions, isTold: false });
  const taken = configuration === undefined ? [] : takeOffered(state, configuration, at);
  return [...taken, ...tellNewcomers(state, at)];
};

/** Handles `follower-left`. */
export const takeFollowerLeft = (state: GatewayState, { follower }: FollowerLeft): void => {
  state.reading.followers.delete(follower);
};
