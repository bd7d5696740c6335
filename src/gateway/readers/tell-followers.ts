/** Tells the gateways that follow this one what it reads from the store. */
import type { GatewayEffect } from '../effect.js';
import type { FollowerJoined, FollowerLeft } from '../event.js';
import { collectionsOf, type GatewayState } from '../state.js';
import type { CollectionName } from '../store/collection.js';
import { confirmedAt } from '../store/confirmation.js';
import { isDeaf } from '../store/note-failure.js';
import type { Stored, StoreChanges, StoreObjects } from '../store/store-objects.js';
import type {
  CollectionSnapshot,
  FollowerId,
  KnownRevisions,
  ReaderNews,
  ReaderStatus,
} from './reader-news.js';
import { followTiming } from './reading-state.js';

/** Name of the one object of the configuration where a reader tells it. */
const CONFIGURATION_OBJECT = 'configuration';

const objectsOf = (state: GatewayState, collection: CollectionName, at: number): StoreObjects => {
  switch (collection) {
    case 'configuration': {
      const value = state.inForce?.configuration;
      const objects =
        value === undefined ? [] : [{ name: CONFIGURATION_OBJECT, gone: false, value }];
      return { collection, objects };
    }
    case 'replicas': {
      const listed = [...state.replicas.all()].filter(({ goneAt }) => goneAt === undefined);
      const objects = listed.map(({ record, coldUntil }) => ({
        name: record.id,
        gone: false,
        value: { ...record, coldLeftMs: Math.max(0, coldUntil - at) },
      }));
      return { collection, objects };
    }
    case 'gateways': {
      const objects = state.peers.names().map((name) => {
        const value = state.peers.find(name);
        return value === undefined ? { name, gone: false } : { name, gone: false, value };
      });
      return { collection, objects };
    }
    case 'evacuations': {
      const zones = [...state.evacuatedZones];
      return {
        collection,
        objects: zones.map((zone) => ({ name: zone, gone: false, value: { zone } })),
      };
    }
  }
};

const snapshotOf = (
  state: GatewayState,
  collection: CollectionName,
  at: number,
): CollectionSnapshot | undefined => {
  const { revision } = state.collections[collection];
  return revision === undefined
    ? undefined
    : { type: 'snapshot', ...objectsOf(state, collection, at), revision };
};

const isComplete = (state: GatewayState): boolean =>
  collectionsOf(state).every((name) => state.collections[name].revision !== undefined);

/**
 * Whether this gateway can read the store. Probes alone do not show it: the store may refuse new connections
 * and serve those that are open.
 */
export const canRead = (state: GatewayState): boolean =>
  state.store.reachable && !collectionsOf(state).some((name) => isDeaf(state.collections[name]));

/** Whether what this gateway tells is all that the store holds. */
const isCurrent = (state: GatewayState): boolean =>
  state.reading.isReading && canRead(state) && isComplete(state);

/** Revisions up to which this gateway knows the collections. */
export const knownRevisions = (state: GatewayState): KnownRevisions =>
  Object.fromEntries(
    collectionsOf(state).flatMap((name) => {
      const { revision } = state.collections[name];
      return revision === undefined ? [] : [[name, revision]];
    }),
  );

const statusOf = (state: GatewayState, at: number): ReaderStatus => {
  const confirmedMsAgo = at - confirmedAt(state);
  return {
    type: 'status',
    isCurrent: isCurrent(state),
    ...(Number.isFinite(confirmedMsAgo) && { confirmedMsAgo }),
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
  followers.filter(
    (id) => reading.followers.get(id)?.revisions[name] !== collections[name].revision,
  );

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
  newcomers.forEach((id) => followers.set(id, { revisions: {}, isTold: true }));
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

/** Tells what a watch has returned. */
export const tellChanges = (
  state: GatewayState,
  changes: StoreChanges,
  after: number,
): GatewayEffect[] => tell(toldFollowers(state), { type: 'changes', ...changes, after });

/** The named objects as they are known now; those that are not known are gone. */
const objectsNamed = (
  state: GatewayState,
  collection: CollectionName,
  names: ReadonlySet<string>,
  at: number,
): StoreObjects => {
  const known = objectsOf(state, collection, at);
  if (known.collection === 'configuration') {
    return names.size === 0 ? { collection: known.collection, objects: [] } : known;
  }
  const present = known.objects.filter(({ name }) => names.has(name));
  const presentNames = new Set(present.map(({ name }) => name));
  const gone = [...names].filter((name) => !presentNames.has(name));
  const objects: readonly Stored<unknown>[] = [
    ...present,
    ...gone.map((name) => ({ name, gone: true })),
  ];
  // `present` is of the same collection; the union of collections cannot say so.
  return { collection, objects } as StoreObjects;
};

/**
 * Tells what has changed in a collection since the revision `after`, by the names of what has: nothing is told
 * again that followers know. Where nothing was known before, all of it is told.
 */
export const tellNamed = (
  state: GatewayState,
  collection: CollectionName,
  names: ReadonlySet<string>,
  after: number | undefined,
  at: number,
): GatewayEffect[] => {
  const { revision } = state.collections[collection];
  if (after === undefined || revision === undefined) {
    return tellSnapshot(state, collection, at);
  }
  const followers = toldFollowers(state);
  const changes =
    followers.length === 0
      ? []
      : tell(followers, {
          type: 'changes',
          ...objectsNamed(state, collection, names, at),
          revision,
          after,
        });
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

/** Handles `follower-joined`; one that missed something joins again. */
export const takeFollower = (
  state: GatewayState,
  { follower, revisions, at }: FollowerJoined,
): GatewayEffect[] => {
  state.reading.followers.set(follower, { revisions, isTold: false });
  return tellNewcomers(state, at);
};

/** Handles `follower-left`. */
export const takeFollowerLeft = (state: GatewayState, { follower }: FollowerLeft): void => {
  state.reading.followers.delete(follower);
};
