/** Sheets in pushes: as what changed where the receiver is likely to hold what it starts from. */
import type { StoreObject } from '../../catalog/store-object.js';
import type { ConfigurationPush } from '../../protocol/configuration-messages.js';
import { applySheetDelta, diffSheet, type SheetDelta } from '../../table/sheet-delta.js';
import type { CoreState } from '../state.js';

/** What a push carries besides its revisions. */
export type PushedObjects = Pick<ConfigurationPush, 'objects' | 'deltas'>;

/** Puts deltas in place of the sheets that this node holds; call it before they are taken. */
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
 * The same objects, sharing with the sheets held all rows that their deltas leave as they are: what
 * follows from a sheet then costs by what changed, and nothing is held twice.
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

/** The whole objects of a push; undefined when a delta starts from a sheet that is not held. */
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
