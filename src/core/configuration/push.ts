/**
 * Pushes changes along a tree of ranks: from the readers of the store to their children in the zone
 * and on to the children of those. Nodes that miss a push pull the changes, see `pull.ts`.
 */
import type { StoreObject } from '../../catalog/store-object.js';
import type { ConfigurationPush } from '../../protocol/configuration-messages.js';
import type { Effect } from '../effect.js';
import type { NodeId } from '../identifiers.js';
import type { CoreState } from '../state.js';
import { PAGE_BYTES, PAGE_OBJECTS } from './bounds.js';
import { estimateObjectBytes } from './object-size.js';
import { requestPull } from './pull.js';
import { expandObjects } from './push-deltas.js';
import { listChildren } from './readers.js';
import { serveIfReady } from './readiness.js';
import { applyObjects } from './apply-objects.js';

/** Changes that do not fit are not pushed; peers pull them in pages. */
const fitsOneMessage = (objects: readonly StoreObject[]): boolean =>
  objects.length <= PAGE_OBJECTS &&
  objects.reduce((sum, { content }) => sum + estimateObjectBytes(content), 0) <= PAGE_BYTES;

/** Sends changes to this node's children in the tree. */
export const pushToChildren = (
  state: CoreState,
  changes: Omit<ConfigurationPush, 'type'>,
): Effect[] => {
  if (!fitsOneMessage(changes.objects)) {
    return [];
  }
  const message: ConfigurationPush = { type: 'configuration-push', ...changes };
  const children = listChildren(state);
  state.counters.configuration_pushed += children.length;
  return children.map(({ node, address }) => ({ type: 'send-link', to: node, address, message }));
};

/** Applies a push that continues the revision held and forwards it; pulls if there is a gap. */
export const handlePush = (
  state: CoreState,
  from: NodeId,
  push: ConfigurationPush,
  at: number,
): Effect[] => {
  const { configuration } = state;
  if (push.through <= configuration.revision) {
    return [];
  }
  if (push.after > configuration.revision) {
    return requestPull(state, from, at);
  }
  const objects = expandObjects(state, push);
  if (objects === undefined) {
    return requestPull(state, from, at);
  }
  applyObjects(state, objects);
  configuration.revision = push.through;
  return [...pushToChildren(state, push), ...serveIfReady(state)];
};
