/** Takes what the store returned: puts configurations in force and keeps the replicas. */
import type { GatewayEffect } from '../effect.js';
import type { ChangesRead, CollectionDue, PageRead, StoreCallFailed, Stored } from '../event.js';
import type { GatewayConfiguration } from '../model/route.js';
import type { ReplicaRecord } from '../model/replica-record.js';
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
  const current = state.inForce?.configuration.version ?? Number.NEGATIVE_INFINITY;
  if (configuration.version <= current) {
    return [];
  }
  state.inForce = { configuration, table: new RouteTable(configuration.routes), since: at };
  forgetOldRoutes(state, configuration);
  const sentence = `Version ${configuration.version} is in force, with ${configuration.routes.length} routes.`;
  return [
    { type: 'apply-limits', limits: configuration.limits },
    { type: 'write-log', level: 'info', part: 'configuration', sentence },
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

const applyReplicas = (
  state: GatewayState,
  objects: readonly Stored<ReplicaRecord>[],
  at: number,
): void => {
  for (const { name, gone, value } of objects) {
    if (gone) {
      state.replicas.markGone(name, at);
    } else if (value !== undefined) {
      state.replicas.put(value, at);
    }
  }
};

const applyObjects = (
  state: GatewayState,
  read: PageRead['page'] | ChangesRead['changes'],
  at: number,
): GatewayEffect[] => {
  if (read.collection === 'replicas') {
    applyReplicas(state, read.objects, at);
    return [];
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
    noteChanges(progress, changes.revision, hasChanges, at),
  ];
};

/** Handles `store-call-failed`. */
export const takeStoreFailure = (
  state: GatewayState,
  { collection, problem, detail, at }: StoreCallFailed,
): GatewayEffect[] => {
  const progress = state.collections[collection];
  const sentence = `A call for the ${collection} failed: ${problem} (${detail}).`;
  return [
    { type: 'write-log', level: 'warn', part: 'store', sentence },
    noteFailure(progress, problem === 'history-gone', state.random, at),
  ];
};

/** Handles `collection-due`. */
export const takeCollectionDue = (
  state: GatewayState,
  { collection }: CollectionDue,
): GatewayEffect[] => [callNow(state.collections[collection])];
