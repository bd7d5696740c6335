/** Takes what the store returned: puts configurations in force and keeps the replicas. */
import type { GatewayEffect } from '../effect.js';
import type { ChangesRead, CollectionDue, PageRead, StoreCallFailed, Stored } from '../event.js';
import type { BeliefChange } from '../log/log-event.js';
import { type GatewayConfiguration, shardsOf } from '../model/route.js';
import type { ReplicaRecord } from '../model/replica-record.js';
import type { Replica } from '../replicas/replica.js';
import { RouteTable } from '../routing/route-table.js';
import type { GatewayState } from '../state.js';
import { COLLECTION_NAMES } from './collection.js';
import { callNow, noteChanges, noteFailure, notePage } from './follow-collection.js';

/** Gone replicas are forgotten after this part of the time for which they still serve. */
const FORGET_SHARE = 0.5;

/** Begins to follow all collections. */
export const followCollections = (state: GatewayState): GatewayEffect[] =>
  COLLECTION_NAMES.map((name) => callNow(state.collections[name]));

/** Puts a configuration in force unless it is older than the one that is. */
const applyConfiguration = (
  state: GatewayState,
  configuration: GatewayConfiguration,
  at: number,
): GatewayEffect[] => {
  const previous = state.inForce?.configuration.version;
  if (previous !== undefined && configuration.version <= previous) {
    return [];
  }
  const change: BeliefChange = {
    event: 'configuration-in-force',
    version: configuration.version,
    ...(previous !== undefined && { previous }),
    routes: configuration.routes.length,
  };
  const shards = shardsOf(configuration.routes);
  state.inForce = { configuration, table: new RouteTable(configuration.routes), shards, since: at };
  forgetOldRoutes(state, configuration);
  return [
    { type: 'apply-limits', limits: configuration.limits },
    { type: 'write-log', level: 'info', part: 'configuration', change },
  ];
};

const forgetOldRoutes = (state: GatewayState, configuration: GatewayConfiguration): void => {
  const names = new Set(configuration.routes.map((route) => route.name));
  for (const known of [state.latencies, state.splits]) {
    for (const name of known.keys()) {
      if (!names.has(name)) {
        known.delete(name);
      }
    }
  }
};

type ReplicaState = 'listed' | 'draining' | 'gone';

const stateOf = (replica: Replica | undefined): ReplicaState | undefined => {
  if (replica === undefined) {
    return undefined;
  }
  if (replica.goneAt !== undefined) {
    return 'gone';
  }
  return replica.record.draining ? 'draining' : 'listed';
};

/** Takes what the store says of one replica, and logs whether that changes anything. */
const applyReplica = (
  state: GatewayState,
  { name, gone, value }: Stored<ReplicaRecord>,
  at: number,
): GatewayEffect[] => {
  const before = stateOf(state.replicas.find(name));
  if (gone) {
    state.replicas.markGone(name, at);
  } else if (value !== undefined) {
    state.replicas.put(value, at);
  }
  const replica = state.replicas.find(name);
  const after = stateOf(replica);
  if (replica === undefined || after === undefined || after === before) {
    return [];
  }
  const { service } = replica.record;
  const change: BeliefChange = { event: 'replica-changed', replica: name, service, state: after };
  return [{ type: 'write-log', level: 'info', part: 'replica', change }];
};

const applyObjects = (
  state: GatewayState,
  read: PageRead['page'] | ChangesRead['changes'],
  at: number,
): GatewayEffect[] => {
  if (read.collection === 'replicas') {
    return read.objects.flatMap((object) => applyReplica(state, object, at));
  }
  return read.objects.flatMap(({ value }) =>
    value === undefined ? [] : applyConfiguration(state, value, at),
  );
};

/** Replicas that a complete list does not hold are gone. */
const markUnlisted = (state: GatewayState, at: number): void => {
  const { listed } = state.collections.replicas;
  for (const replica of state.replicas.all()) {
    if (!listed.has(replica.record.id)) {
      state.replicas.markGone(replica.record.id, at);
    }
  }
  listed.clear();
  state.replicasListed = true;
};

const forgetGoneReplicas = (state: GatewayState, at: number): GatewayEffect[] => {
  const before = at - state.settings.bounds.drainMs * FORGET_SHARE;
  return state.replicas
    .forgetGone(before)
    .map((replica): GatewayEffect => ({ type: 'close-replica', replica }));
};

/** Handles `page-read`. */
export const takePage = (state: GatewayState, { page, at }: PageRead): GatewayEffect[] => {
  const progress = state.collections[page.collection];
  const effects = applyObjects(state, page, at);
  const names = page.objects.map(({ name }) => name);
  const isComplete = notePage(progress, names, page, at);
  if (isComplete && page.collection === 'replicas') {
    markUnlisted(state, at);
  }
  return [...effects, callNow(progress)];
};

/** Handles `changes-read`. */
export const takeChanges = (state: GatewayState, { changes, at }: ChangesRead): GatewayEffect[] => {
  const progress = state.collections[changes.collection];
  const hasChanges = changes.objects.length > 0;
  return [
    ...applyObjects(state, changes, at),
    ...forgetGoneReplicas(state, at),
    noteChanges(progress, changes.revision, hasChanges, state.settings.bounds, at),
  ];
};

/**
 * Handles `store-call-failed`. While the store is out of reach it is only probed: each call costs, and
 * the collections are followed again with the first probe that is answered.
 */
export const takeStoreFailure = (
  state: GatewayState,
  { collection, problem, detail, at }: StoreCallFailed,
): GatewayEffect[] => {
  const progress = state.collections[collection];
  state.counters.storeFailures.add(collection, problem);
  const change: BeliefChange = { event: 'store-call-failed', collection, problem, detail };
  const log: GatewayEffect = { type: 'write-log', level: 'warn', part: 'store', change };
  const next = noteFailure(progress, problem === 'history-gone', state.random, at);
  return state.store.reachable || problem === 'history-gone' ? [log, next] : [log];
};

/** Handles `collection-due`. */
export const takeCollectionDue = (
  state: GatewayState,
  { collection }: CollectionDue,
): GatewayEffect[] => (state.store.reachable ? [callNow(state.collections[collection])] : []);
