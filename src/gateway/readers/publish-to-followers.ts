/** Publishes what this gateway reads from the store to its followers. */
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
import type { FollowerId, KnownPositions, ReaderUpdate, ReaderStatus } from './reader-update.js';
import { CONFIGURATION_OBJECT, eraFields, namedObjects, snapshotOf } from './update-content.js';
import { followTiming } from './reading-state.js';

const isComplete = (state: GatewayState): boolean =>
  collectionsOf(state).every((name) => state.collections[name].revision !== undefined);

/**
 * Whether this gateway can read the store. Probes alone do not show this: the store may refuse new connections while it
 * serves those that are open.
 */
export const canRead = (state: GatewayState): boolean =>
  state.store.reachable &&
  !collectionsOf(state).some((name) => hasRepeatedFailures(state.collections[name]));

/** Whether this gateway's updates cover everything that the store holds. */
const isCurrent = (state: GatewayState): boolean =>
  state.reading.isReading && canRead(state) && isComplete(state);

/** The positions up to which this gateway knows the collections. `except` is left out, to request all of it. */
export const knownPositions = (state: GatewayState, except?: CollectionName): KnownPositions =>
  Object.fromEntries(
    collectionsOf(state).flatMap((name) => {
      const position = positionOf(state.collections[name]);
      return position === undefined || name === except ? [] : [[name, position]];
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

const sendUpdate = (followers: readonly FollowerId[], update: ReaderUpdate): GatewayEffect[] =>
  followers.length === 0 ? [] : [{ type: 'send-reader-update', followers, news: update }];

const synchronizedFollowers = ({ reading }: GatewayState): readonly FollowerId[] =>
  [...reading.followers].filter(([, { isSynchronized }]) => isSynchronized).map(([id]) => id);

const followersLacking = (
  { reading, collections }: GatewayState,
  followers: readonly FollowerId[],
  name: CollectionName,
): readonly FollowerId[] =>
  followers.filter((id) => {
    const followerPosition = reading.followers.get(id)?.positions[name];
    const position = positionOf(collections[name]);
    return (
      followerPosition === undefined ||
      position === undefined ||
      comparePositions(followerPosition, position) !== 0
    );
  });

/** Sends new followers everything that they lack, once this gateway has read all collections. */
export const publishToNewFollowers = (state: GatewayState, at: number): GatewayEffect[] => {
  const { followers } = state.reading;
  const newFollowers = [...followers]
    .filter(([, { isSynchronized }]) => !isSynchronized)
    .map(([id]) => id);
  if (newFollowers.length === 0 || !isComplete(state)) {
    return [];
  }
  const snapshots = collectionsOf(state).flatMap((name) => {
    const recipients = followersLacking(state, newFollowers, name);
    const snapshot = recipients.length === 0 ? undefined : snapshotOf(state, name, at);
    return snapshot === undefined ? [] : sendUpdate(recipients, snapshot);
  });
  newFollowers.forEach((id) => followers.set(id, { positions: {}, isSynchronized: true }));
  return [...snapshots, ...sendUpdate(newFollowers, statusOf(state, at))];
};

/** Publishes a snapshot of a collection. */
const publishSnapshot = (
  state: GatewayState,
  collection: CollectionName,
  at: number,
): GatewayEffect[] => {
  const followers = synchronizedFollowers(state);
  const snapshot = followers.length === 0 ? undefined : snapshotOf(state, collection, at);
  const updates = snapshot === undefined ? [] : sendUpdate(followers, snapshot);
  return [...updates, ...publishToNewFollowers(state, at)];
};

/** Publishes the changes of a collection since a position. */
export const publishChanges = (
  state: GatewayState,
  changes: StoreChanges,
  { era: afterEra, revision: after }: StorePosition,
  at: number,
): GatewayEffect[] => {
  const { collection, objects, revision } = changes;
  const { era } = state.collections[collection];
  // Objects and collection belong together in `changes`, which the union type cannot express.
  const read = { collection, objects } as StoreObjects;
  return sendUpdate(synchronizedFollowers(state), {
    type: 'changes',
    ...read,
    revision,
    after,
    ...(afterEra !== undefined && { afterEra }),
    ...eraFields(state, era, at),
  });
};

/**
 * Publishes the named objects, which have changed since the position `after`, so that followers are not sent again what
 * they already have. Without a previous position, a snapshot is published.
 */
export const publishNamed = (
  state: GatewayState,
  collection: CollectionName,
  names: ReadonlySet<string>,
  after: StorePosition | undefined,
  at: number,
): GatewayEffect[] => {
  const { revision } = state.collections[collection];
  if (after === undefined || revision === undefined) {
    return publishSnapshot(state, collection, at);
  }
  const changes =
    synchronizedFollowers(state).length === 0
      ? []
      : publishChanges(
          state,
          { ...namedObjects(state, collection, names, at), revision },
          after,
          at,
        );
  return [...changes, ...publishToNewFollowers(state, at)];
};

/** Publishes this gateway's status where the heartbeat is due or `isCurrent` has changed. */
export const publishStatus = (state: GatewayState, at: number): GatewayEffect[] => {
  const { reading, settings } = state;
  const status = statusOf(state, at);
  const { heartbeatMs } = followTiming(settings.bounds);
  const isDue =
    at - reading.statusPublishedAt >= heartbeatMs || reading.publishedCurrent !== status.isCurrent;
  const followers = isDue ? synchronizedFollowers(state) : [];
  if (followers.length === 0) {
    return [];
  }
  reading.statusPublishedAt = at;
  reading.publishedCurrent = status.isCurrent;
  return sendUpdate(followers, status);
};

/** Applies a configuration that the store has lost and a follower offers, and publishes it to all followers. */
const applyOfferedConfiguration = (
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
    ...publishNamed(
      state,
      'configuration',
      new Set([CONFIGURATION_OBJECT]),
      positionOf(configuration),
      at,
    ),
  ];
};

/** Handles `follower-joined`. A follower that missed an update joins again. */
export const handleFollowerJoined = (
  state: GatewayState,
  { follower, positions, configuration, at }: FollowerJoined,
): GatewayEffect[] => {
  state.reading.followers.set(follower, { positions, isSynchronized: false });
  const applied =
    configuration === undefined ? [] : applyOfferedConfiguration(state, configuration, at);
  return [...applied, ...publishToNewFollowers(state, at)];
};

/** Handles `follower-left`. */
export const handleFollowerLeft = (state: GatewayState, { follower }: FollowerLeft): void => {
  state.reading.followers.delete(follower);
};
