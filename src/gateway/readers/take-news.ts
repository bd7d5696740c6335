/**
 * Takes what a reader tells of the store, and passes it on: a gateway that reads for others may itself follow a
 * reader. Its own watch does not return what it has been told, and its followers believe that it is current.
 */
import type { GatewayEffect } from '../effect.js';
import type { ReaderTold } from '../event.js';
import type { BeliefChange } from '../log/log-event.js';
import { registerIfMissing, takeGatewaysList } from '../peers/follow-gateways.js';
import { collectionsOf, type GatewayState } from '../state.js';
import { applyObjects, applyWholeList, forgetGoneReplicas } from '../store/apply-objects.js';
import { changedNames, unlistedNames } from '../store/list-changes.js';
import type { CollectionChanges, CollectionSnapshot, ReaderStatus } from './reader-news.js';
import type { Source } from './reading-state.js';
import { knownRevisions, tellChanges, tellNamed } from './tell-followers.js';

/** What is told twice is dropped without a word; what is older than what is known is worth a line. */
const dropNews = (
  reader: string,
  { collection, revision }: CollectionSnapshot | CollectionChanges,
  knownRevision: number,
): GatewayEffect[] => {
  const change: BeliefChange = {
    event: 'news-dropped',
    collection,
    reader,
    revision,
    knownRevision,
  };
  return revision === knownRevision
    ? []
    : [{ type: 'write-log', level: 'info', part: 'store', change }];
};

const takeSnapshot = (
  state: GatewayState,
  { peer }: Source,
  snapshot: CollectionSnapshot,
  at: number,
): GatewayEffect[] => {
  const { collection, revision, objects } = snapshot;
  const progress = state.collections[collection];
  if (progress.revision !== undefined && revision <= progress.revision) {
    return dropNews(peer.name, snapshot, progress.revision);
  }
  const { revision: before } = progress;
  const listed = new Set(objects.map(({ name }) => name));
  const changed = new Set([
    ...changedNames(state, snapshot),
    ...unlistedNames(state, collection, listed),
    ...progress.untold,
  ]);
  progress.revision = revision;
  progress.isListed = true;
  return [
    ...applyObjects(state, snapshot, at, peer.name),
    ...applyWholeList(state, collection, listed, at),
    ...tellNamed(state, collection, changed, before, at),
    ...(collection === 'gateways' ? takeGatewaysList(state, at) : []),
  ];
};

/** Asks for a snapshot of what was missed. */
const askAgain = (state: GatewayState, { peer }: Source): GatewayEffect => ({
  type: 'follow-reader',
  peer,
  revisions: knownRevisions(state),
});

const takeReaderChanges = (
  state: GatewayState,
  source: Source,
  changes: CollectionChanges,
  at: number,
): GatewayEffect[] => {
  const { collection, revision, after } = changes;
  const progress = state.collections[collection];
  if (progress.revision === undefined || after > progress.revision) {
    return [askAgain(state, source)];
  }
  const { revision: before } = progress;
  if (revision <= before) {
    return dropNews(source.peer.name, changes, before);
  }
  progress.revision = revision;
  return [
    ...applyObjects(state, changes, at, source.peer.name),
    ...tellChanges(state, changes, before),
    ...forgetGoneReplicas(state, at),
    ...(collection === 'gateways' ? registerIfMissing(state, at) : []),
  ];
};

/** A reader that is current has told all that the store holds. */
const takeStatus = (
  state: GatewayState,
  source: Source,
  { isCurrent, confirmedMsAgo = 0 }: ReaderStatus,
  at: number,
): GatewayEffect[] => {
  const wasCurrent = source.isCurrent;
  source.isCurrent = isCurrent;
  if (isCurrent) {
    collectionsOf(state).forEach((name) => {
      const progress = state.collections[name];
      progress.confirmedAt = Math.max(progress.confirmedAt, at - confirmedMsAgo);
    });
  }
  if (isCurrent === wasCurrent) {
    return [];
  }
  const change: BeliefChange = { event: 'reader-status', reader: source.peer.name, isCurrent };
  return [{ type: 'write-log', level: 'info', part: 'store', change }];
};

/** Handles `reader-told`; what comes from a gateway that is no longer followed is dropped. */
export const takeReaderNews = (
  state: GatewayState,
  { reader, news, at }: ReaderTold,
): GatewayEffect[] => {
  const source = state.reading.sources.get(reader);
  if (source === undefined) {
    return [];
  }
  source.heardAt = at;
  switch (news.type) {
    case 'status':
      return takeStatus(state, source, news, at);
    case 'snapshot':
      return takeSnapshot(state, source, news, at);
    case 'changes':
      return takeReaderChanges(state, source, news, at);
  }
};
