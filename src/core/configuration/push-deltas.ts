/** Deltas of sheets in pushes, used where the receiver probably holds the previous version. */
import type { StoreObject } from '../../catalog/store-object.js';
import type { ConfigurationPush } from '../../protocol/configuration-messages.js';
import { applySheetDelta, diffSheet, type SheetDelta } from '../../table/sheet-delta.js';
import type { CoreState } from '../state.js';

/** The objects of a push, whole or as deltas. */
export type PushedObjects = Pick<ConfigurationPush, 'objects' | 'deltas'>;

/**
 * Replaces sheets that this node holds by deltas; must be called before the objects are applied.
 */
export const createDeltas = (state: CoreState, objects: readonly StoreObject[]): PushedObjects => {
  const whole: StoreObject[] = [];
  const deltas: SheetDelta[] = [];
  for (const object of objects) {
    const held = state.configuration.objects.get(object.name);
    const delta = held === undefined ? undefined : diffSheet(held, object);
    if (delta === undefined) {
      whole.push(object);
    } else {
      deltas.push(delta);
    }
  }
  return deltas.length === 0 ? { objects: whole } : { objects: whole, deltas };
};

/**
 * Returns the same objects, sharing all rows that the deltas leave unchanged with the sheets held.
 * The cost of deriving tables then depends on the change only, and no row is stored twice.
 */
export const shareUnchangedRows = (
  state: CoreState,
  objects: readonly StoreObject[],
  { deltas = [] }: PushedObjects,
): readonly StoreObject[] =>
  objects.map((object) => {
    const delta = deltas.find(
      ({ name, revision }) => name === object.name && revision === object.revision,
    );
    const held = state.configuration.objects.get(object.name);
    return (delta && applySheetDelta(held, delta)) ?? object;
  });

/** Returns the whole objects of a push; undefined when the base of a delta is not held. */
export const expandObjects = (
  state: CoreState,
  { objects, deltas = [] }: PushedObjects,
): readonly StoreObject[] | undefined => {
  const expanded = [...objects];
  for (const delta of deltas) {
    const held = state.configuration.objects.get(delta.name);
    if (held !== undefined && held.revision >= delta.revision) {
      continue;
    }
    const object = applySheetDelta(held, delta);
    if (object === undefined) {
      return undefined;
    }
    expanded.push(object);
  }
  return expanded;
};
