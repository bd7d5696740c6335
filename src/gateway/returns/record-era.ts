/** Records the era of the store. A later era than before means that the store was restored from a backup. */
import type { GatewayEffect } from '../effect.js';
import type { StateChange } from '../log/log-event.js';
import { collectionsOf, type GatewayState } from '../state.js';
import type { CollectionName } from '../store/collection.js';
import { beginList, callNow, isOfEarlierEra } from '../store/follow-collection.js';
import { compareEras, type StoreEra } from '../store/store-position.js';

/** Where an era was learnt from. */
export interface EraSource {
  /** `store`, or the name of a gateway. */
  readonly from: string;
  /**
   * The collection that was being read. It is not listed again here, since its own result decides how reading
   * continues.
   */
  readonly collection?: CollectionName;
  /**
   * When this gateway, or the one that sent the update, first learnt of the era; in milliseconds on this gateway's
   * clock.
   */
  readonly since: number;
}

/**
 * Lists the collections that this reader knows from an earlier era at once: its watches would not report what the store
 * has lost.
 */
const relistEarlierEra = (
  state: GatewayState,
  except: CollectionName | undefined,
): GatewayEffect[] => {
  const { store, reading, collections } = state;
  if (!reading.isReading || !store.reachable) {
    return [];
  }
  const behind = collectionsOf(state)
    .filter((name) => name !== except)
    .map((name) => collections[name])
    .filter((progress) => isOfEarlierEra(progress, store.era));
  behind.forEach(beginList);
  return behind.map(callNow);
};

/** Records an era named by an answer of the store or by a reader. */
export const recordEra = (
  state: GatewayState,
  era: StoreEra,
  { from, collection, since }: EraSource,
): GatewayEffect[] => {
  const { store, storeRestores } = state;
  const { era: previous } = store;
  const order = era === undefined ? 0 : compareEras(era, previous);
  if (order < 0 && !Number.isFinite(storeRestores.eraSince)) {
    // This gateway has started since the restore, and learns of it from a gateway that has not noticed it yet.
    storeRestores.eraSince = since;
  }
  if (era !== undefined && order === 0) {
    storeRestores.eraSince = Math.min(storeRestores.eraSince, since);
  }
  if (era === undefined || order <= 0) {
    return [];
  }
  store.era = era;
  if (previous === undefined) {
    return relistEarlierEra(state, collection);
  }
  storeRestores.eraSince = since;
  const { ongoing } = storeRestores;
  storeRestores.ongoing = {
    previousEra: ongoing?.previousEra ?? previous,
    missing: new Map(),
    older: new Map(),
  };
  const change: StateChange = { event: 'store-era-changed', era, previous, from };
  return [
    { type: 'write-log', level: 'info', part: 'store', change },
    ...relistEarlierEra(state, collection),
  ];
};

/** Completes a restore once all collections have been read since, and logs what it has changed. */
export const completeRestore = (state: GatewayState, at: number): GatewayEffect[] => {
  const { storeRestores, store, collections, inForce } = state;
  const { ongoing, eraSince } = storeRestores;
  const isBehind = collectionsOf(state).some((name) =>
    isOfEarlierEra(collections[name], store.era),
  );
  if (ongoing === undefined || store.era === undefined || isBehind) {
    return [];
  }
  storeRestores.ongoing = undefined;
  const change: StateChange = {
    event: 'store-returned',
    era: store.era,
    previous: ongoing.previousEra,
    readAfterMs: Math.round(at - eraSince),
    version: inForce?.configuration.version ?? 0,
    missing: Object.fromEntries(ongoing.missing),
    older: Object.fromEntries(ongoing.older),
  };
  return [{ type: 'write-log', level: 'info', part: 'store', change }];
};
