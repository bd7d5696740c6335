/** Puts objects into force if they are newer than those held. */
import type { StoreContent, StoreObject } from '../../catalog/store-object.js';
import { trimHistory } from '../../table/spread-history.js';
import type { CoreState } from '../state.js';
import { REBUILD_CHANGES } from './bounds.js';
import { updateInForce, deriveInForce } from './derive-in-force.js';

/**
 * True for objects that operators and nodes write by compare-and-set; the platform writes the
 * others.
 */
export const isEdited = (content: StoreContent): boolean =>
  content.type !== 'status' && content.type !== 'layout';

/**
 * Whether `object` may replace `held`. An edited object needs a newer version as well, because a
 * store that lost writes reuses their versions under greater revisions.
 */
export const isNewer = (object: StoreObject, held: StoreObject | undefined): boolean => {
  if (held === undefined) {
    return true;
  }
  const versionGrows = object.version > held.version || !isEdited(object.content);
  return object.revision > held.revision && versionGrows;
};

interface ObjectChange {
  readonly held: StoreObject | undefined;
  readonly object: StoreObject;
}

const updateOrRebuild = (state: CoreState, changes: readonly ObjectChange[]): void => {
  const { configuration } = state;
  if (changes.length >= REBUILD_CHANGES) {
    configuration.inForce = deriveInForce(configuration.objects.values());
    return;
  }
  for (const { held, object } of changes) {
    configuration.inForce = updateInForce(configuration.inForce, held, object);
  }
};

/** Applies the `objects` that are newer than those held; returns their number. */
export const applyObjects = (state: CoreState, objects: readonly StoreObject[]): number => {
  const { configuration } = state;
  const changes: ObjectChange[] = [];
  for (const object of objects.map(trimHistory)) {
    const held = configuration.objects.get(object.name);
    if (isNewer(object, held)) {
      configuration.objects.set(object.name, object);
      changes.push({ held, object });
    } else if (object.revision !== held?.revision) {
      state.counters.configuration_older_refused += 1;
    }
  }
  updateOrRebuild(state, changes);
  return changes.length;
};
