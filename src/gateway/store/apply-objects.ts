/** Applies objects of the store to the state, whether they come from the store itself or from a reader. */
import type { GatewayEffect } from '../effect.js';
import type { StateChange, ReplicaState } from '../log/log-event.js';
import type { Evacuation } from '../model/evacuation.js';
import type { PeerRecord } from '../model/peer-record.js';
import type { GatewayConfiguration } from '../model/route.js';
import { isOtherIncarnation, type ReplicaRecord } from '../model/replica-record.js';
import type { Replica } from '../replicas/replica.js';
import type { Departure } from '../returns/restore-state.js';
import { restoreEntry } from '../crashes/restore-suspects.js';
import { applyReplicaCrash } from '../requests/broken-attempts.js';
import type { GatewayState } from '../state.js';
import type { CollectionName } from './collection.js';
import { createInForce, isNewConfiguration } from './configuration-in-force.js';
import { logReplicaChanges, type ReplicaChange } from './log-replica-changes.js';
import { logUnreadable } from './log-unreadable.js';
import type { Stored, StoreObjects } from './store-objects.js';

/** Gone replicas are removed after this fraction of the drain time, in which they still serve. */
const GONE_RETENTION_SHARE = 0.5;

const removeUnusedRouteState = (state: GatewayState, configuration: GatewayConfiguration): void => {
  for (const service of state.legPauseOutcomes.keys()) {
    if (!configuration.services.has(service)) {
      state.legPauseOutcomes.delete(service);
    }
  }
  const names = new Set(configuration.routes.map((route) => route.name));
  for (const known of [state.latencies, state.splits]) {
    for (const name of known.keys()) {
      if (!names.has(name)) {
        known.delete(name);
      }
    }
  }
};

/** Puts a configuration into force if it replaces the current one. */
const applyConfiguration = (
  state: GatewayState,
  configuration: GatewayConfiguration,
  at: number,
  from: string,
): GatewayEffect[] => {
  if (!isNewConfiguration(configuration, state.inForce)) {
    return [];
  }
  const previous = state.inForce?.configuration.version;
  const { confirmedAt } = state.collections.configuration;
  const change: StateChange = {
    event: 'configuration-in-force',
    version: configuration.version,
    ...(previous !== undefined && { previous }),
    routes: configuration.routes.length,
    from,
    ...(Number.isFinite(confirmedAt) && { unconfirmedMs: Math.round(at - confirmedAt) }),
  };
  state.inForce = createInForce(configuration, at);
  removeUnusedRouteState(state, configuration);
  return [
    { type: 'apply-limits', limits: configuration.limits },
    { type: 'write-log', level: 'info', part: 'configuration', change },
  ];
};

const stateOf = (replica: Replica | undefined): ReplicaState | undefined => {
  if (replica === undefined) {
    return undefined;
  }
  if (replica.goneAt !== undefined) {
    return 'gone';
  }
  return replica.record.draining ? 'draining' : 'listed';
};

/**
 * Records when an object was removed, and deletes the record when it is listed again. A store that is restored from a backup
 * may list removed objects again.
 */
const recordDeparture = (
  departures: Map<string, Departure>,
  name: string,
  hasGone: boolean,
  at: number,
  bornAt?: number,
): void => {
  if (!hasGone) {
    departures.delete(name);
  } else if (!departures.has(name)) {
    departures.set(name, { at, ...(bornAt !== undefined && { bornAt }) });
  }
};

/** Applies the store's entry of one replica; returns the change of its state, if any. */
const applyReplica = (
  { replicas, storeRestores }: GatewayState,
  { name, gone, value }: Stored<ReplicaRecord>,
  at: number,
): readonly ReplicaChange[] => {
  const before = stateOf(replicas.find(name));
  if (gone) {
    replicas.markGone(name, at);
  } else if (value === undefined) {
    replicas.markUnreadable(name);
  } else {
    replicas.put(value, at);
  }
  const replica = replicas.find(name);
  const after = stateOf(replica);
  recordDeparture(storeRestores.departedReplicas, name, gone, at, replica?.record.bornAt);
  return replica === undefined || after === undefined || after === before
    ? []
    : [{ replica: name, service: replica.record.service, state: after }];
};

/** Ends the attempts at the previous incarnation of a replica that has restarted, and closes the connections to it. */
const endEarlierIncarnation = (
  state: GatewayState,
  { name, value }: Stored<ReplicaRecord>,
  at: number,
): GatewayEffect[] => {
  const known = state.replicas.find(name);
  if (known === undefined || value === undefined || !isOtherIncarnation(value, known.record)) {
    return [];
  }
  return [...applyReplicaCrash(state, name, at), { type: 'close-replica', replica: name }];
};

/** Applies replica entries. The first list is not logged as changes. */
const applyReplicas = (
  state: GatewayState,
  objects: readonly Stored<ReplicaRecord>[],
  at: number,
): GatewayEffect[] => {
  const ended = objects.flatMap((object) => endEarlierIncarnation(state, object, at));
  const changes = objects.flatMap((object) => applyReplica(state, object, at));
  return [...ended, ...(state.replicasListed ? logReplicaChanges(changes) : [])];
};

/** Applies the entry of one gateway. */
const applyGateway = (
  state: GatewayState,
  { name, gone, value }: Stored<PeerRecord>,
  at: number,
): GatewayEffect[] => {
  const { peers } = state;
  if (gone) {
    peers.remove(name);
    return [];
  }
  if (value === undefined) {
    peers.putUnreadable(name);
    return [];
  }
  return peers.put(value) ? restoreEntry(state, value, at) : [];
};

/** Applies an evacuation order. The zone's replicas receive requests again once the order is gone. */
const applyEvacuation = (
  { evacuatedZones, storeRestores }: GatewayState,
  { name: zone, gone }: Stored<Evacuation>,
  at: number,
): GatewayEffect[] => {
  if (gone !== evacuatedZones.has(zone)) {
    return [];
  }
  recordDeparture(storeRestores.reopenedZones, zone, gone, at);
  if (gone) {
    evacuatedZones.delete(zone);
  } else {
    evacuatedZones.add(zone);
  }
  const change: StateChange = { event: 'zone-evacuated', zone, evacuated: !gone };
  return [{ type: 'write-log', level: 'info', part: 'replica', change }];
};

/** Updates the number of gateways. It does not fall below the assumed number before all gateways are listed. */
export const countGateways = (state: GatewayState): GatewayEffect[] => {
  const previous = state.gateways;
  const minimum = state.gatewaysSettled ? 1 : previous;
  state.gateways = Math.max(minimum, state.peers.listedCount);
  if (state.gateways === previous) {
    return [];
  }
  const change: StateChange = { event: 'gateways-counted', gateways: state.gateways, previous };
  return [{ type: 'write-log', level: 'info', part: 'lifecycle', change }];
};

/**
 * Applies objects of a collection to the state.
 *
 * @param at - time on the gateway's clock, in milliseconds
 * @param from - source of the objects: `store`, or the name of a reader
 */
export const applyObjects = (
  state: GatewayState,
  read: StoreObjects,
  at: number,
  from: string,
): GatewayEffect[] => {
  const unconfirmed = state.storeRestores.unconfirmed[read.collection];
  read.objects.forEach(({ name }) => unconfirmed.delete(name));
  return [...logUnreadable(state, read), ...applyReadable(state, read, at, from)];
};

const applyReadable = (
  state: GatewayState,
  read: StoreObjects,
  at: number,
  from: string,
): GatewayEffect[] => {
  switch (read.collection) {
    case 'configuration':
      return read.objects.flatMap(({ value }) =>
        value === undefined ? [] : applyConfiguration(state, value, at, from),
      );
    case 'replicas':
      return applyReplicas(state, read.objects, at);
    case 'gateways':
      return [
        ...read.objects.flatMap((object) => applyGateway(state, object, at)),
        ...countGateways(state),
      ];
    case 'evacuations':
      return read.objects.flatMap((object) => applyEvacuation(state, object, at));
  }
};

const markUnlistedReplicas = (
  state: GatewayState,
  listed: ReadonlySet<string>,
  at: number,
): GatewayEffect[] => {
  const unlisted = [...state.replicas.all()]
    .map(({ record }) => record.id)
    .filter((name) => !listed.has(name))
    .map((name) => ({ name, gone: true }));
  const logged = applyReplicas(state, unlisted, at);
  if (state.replicasListed) {
    return logged;
  }
  state.replicasListed = true;
  const change: StateChange = { event: 'replicas-listed', replicas: state.replicas.size };
  return [{ type: 'write-log', level: 'info', part: 'replica', change }];
};

/** Discards unconfirmed objects that were kept apart as older than the known ones and that the store no longer lists. */
const discardUnlistedUnconfirmed = (
  { storeRestores }: GatewayState,
  collection: CollectionName,
  listed: ReadonlySet<string>,
): void => {
  const unconfirmed = storeRestores.unconfirmed[collection];
  [...unconfirmed]
    .filter(([name, { type }]) => type === 'older' && !listed.has(name))
    .forEach(([name]) => unconfirmed.delete(name));
};

/** Marks all known objects as gone that a complete list does not contain. */
export const removeUnlistedObjects = (
  state: GatewayState,
  collection: CollectionName,
  listed: ReadonlySet<string>,
  at: number,
): GatewayEffect[] => {
  discardUnlistedUnconfirmed(state, collection, listed);
  switch (collection) {
    case 'configuration':
      return [];
    case 'replicas':
      return markUnlistedReplicas(state, listed, at);
    case 'gateways':
      state.peers
        .names()
        .filter((name) => !listed.has(name))
        .forEach((name) => state.peers.remove(name));
      return countGateways(state);
    case 'evacuations':
      return [...state.evacuatedZones]
        .filter((zone) => !listed.has(zone))
        .flatMap((zone) => applyEvacuation(state, { name: zone, gone: true }, at));
  }
};

/** Removes replicas whose retention time after leaving the store has passed, and closes the connections to them. */
export const removeGoneReplicas = (state: GatewayState, at: number): GatewayEffect[] => {
  const before = at - state.settings.bounds.drainMs * GONE_RETENTION_SHARE;
  return state.replicas.removeGone(before).map((replica): GatewayEffect => {
    state.unawaitedRuns.removeRuns(replica, at);
    return { type: 'close-replica', replica };
  });
};
