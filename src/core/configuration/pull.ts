/**
 * Anti-entropy: a node that learns of a newer revision from a ping or an acknowledgement pulls the
 * missing objects page by page. It waits briefly first, because a push is probably on its way.
 */
import type { StoreObject } from '../../catalog/store-object.js';
import type {
  ConfigurationPage,
  ConfigurationPull,
} from '../../protocol/configuration-messages.js';
import type { ConfigurationDigest } from '../../protocol/membership-messages.js';
import type { Effect } from '../effect.js';
import type { NodeId } from '../identifiers.js';
import type { Member } from '../membership/member.js';
import type { CoreState } from '../state.js';
import {
  PAGE_BYTES,
  PAGE_OBJECTS,
  MAX_PULL_DELAY_MS,
  MIN_PULL_DELAY_MS,
  PULL_TIMEOUT_MS,
} from './bounds.js';
import { estimateObjectBytes } from './object-size.js';
import { serveIfReady } from './readiness.js';
import { handleStoreHint } from './store-hint.js';
import { applyObjects } from './apply-objects.js';

const PULL_TIMER = { purpose: 'configuration-exchange', subject: 'pull' } as const;

const sendPull = (state: CoreState, member: Member, after: number, at: number): Effect => {
  const { node, address } = member.identity;
  state.configuration.pull = { peer: node, sentAt: at };
  const message: ConfigurationPull = { type: 'configuration-pull', after };
  return { type: 'send-link', to: node, address, message };
};

const isPulling = (state: CoreState, at: number): boolean => {
  const { pull } = state.configuration;
  return pull !== undefined && at - pull.sentAt < PULL_TIMEOUT_MS;
};

/** Requests all changes after the revision held from a peer, unless a pull is in progress. */
export const requestPull = (state: CoreState, peer: NodeId, at: number): Effect[] => {
  const member = state.membership.members.get(peer);
  return member === undefined || isPulling(state, at)
    ? []
    : [sendPull(state, member, state.configuration.revision, at)];
};

/** Handles the configuration digest of a peer, received on a datagram. */
export const handleDigest = (
  state: CoreState,
  peer: NodeId,
  digest: ConfigurationDigest,
  at: number,
): Effect[] => {
  const { configuration } = state;
  configuration.servingPeerSeen ||= digest.serving;
  if (digest.revision <= configuration.revision) {
    return serveIfReady(state);
  }
  if (state.phase === 'starting') {
    return requestPull(state, peer, at);
  }
  const hinted = handleStoreHint(state, at);
  if (configuration.pullCandidate !== undefined) {
    return hinted;
  }
  configuration.pullCandidate = peer;
  const spread = state.random.nextBelow(MAX_PULL_DELAY_MS - MIN_PULL_DELAY_MS);
  return [...hinted, { type: 'set-timer', key: PULL_TIMER, at: at + MIN_PULL_DELAY_MS + spread }];
};

/**
 * Runs when the wait for a push is over: pulls from the peer if it still holds a newer revision.
 */
export const pullIfBehind = (state: CoreState, at: number): Effect[] => {
  const { configuration, membership } = state;
  const candidate = configuration.pullCandidate;
  configuration.pullCandidate = undefined;
  const member = candidate === undefined ? undefined : membership.members.get(candidate);
  return member !== undefined && member.revision > configuration.revision
    ? requestPull(state, member.identity.node, at)
    : [];
};

/** Cancels the pull from `peer` after its link was lost, because no answer will arrive. */
export const cancelPull = (state: CoreState, peer: NodeId): Effect[] => {
  const { configuration } = state;
  if (configuration.pull?.peer === peer) {
    configuration.pull = undefined;
  }
  return [];
};

const selectPage = (objects: readonly StoreObject[]): StoreObject[] => {
  const page: StoreObject[] = [];
  let bytes = 0;
  for (const object of objects) {
    bytes += estimateObjectBytes(object.content);
    if (page.length > 0 && (page.length >= PAGE_OBJECTS || bytes > PAGE_BYTES)) {
      break;
    }
    page.push(object);
  }
  return page;
};

/** Answers a pull with the first page of the objects changed after the requested revision. */
export const handlePull = (state: CoreState, from: NodeId, pull: ConfigurationPull): Effect[] => {
  const member = state.membership.members.get(from);
  if (member === undefined) {
    return [];
  }
  const { configuration } = state;
  const changed = [...configuration.objects.values()]
    .filter((object) => object.revision > pull.after)
    .sort((a, b) => a.revision - b.revision);
  const objects = selectPage(changed);
  const last = objects.at(-1);
  const isLast = last === undefined || objects.length === changed.length;
  const message: ConfigurationPage = {
    type: 'configuration-page',
    after: pull.after,
    objects,
    revision: configuration.revision,
    ...(isLast ? {} : { next: last.revision }),
  };
  state.counters.configuration_pulled += 1;
  const { node, address } = member.identity;
  return [{ type: 'send-link', to: node, address, message }];
};

/**
 * Applies a page. The objects are in force at once; the revision advances with the last page only,
 * when all changes up to it are held.
 */
export const handlePage = (
  state: CoreState,
  from: NodeId,
  page: ConfigurationPage,
  at: number,
): Effect[] => {
  const { configuration, membership } = state;
  if (configuration.pull?.peer !== from) {
    return [];
  }
  applyObjects(state, page.objects);
  const member = membership.members.get(from);
  if (page.next !== undefined && member !== undefined) {
    return [sendPull(state, member, page.next, at)];
  }
  configuration.pull = undefined;
  configuration.revision = Math.max(configuration.revision, page.revision);
  return serveIfReady(state);
};
