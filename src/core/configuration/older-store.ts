/**
 * Restores a store that is older than the configuration in force, because it was restored from a
 * backup or lost writes. The state is logged, and the store's older data is not applied. A reader
 * writes the configuration in force back by compare-and-set until the store's revision exceeds the
 * one in force; from then on revisions are comparable again.
 *
 * The reader reads all objects to find the differences. Objects with a revision up to the one in
 * force are not applied; objects that no node holds are rewritten unchanged, so that they get a
 * revision that all nodes accept. Objects written by the platform are not overwritten.
 */
import type { StoreObject } from '../../catalog/store-object.js';
import { completeHistory } from '../../table/spread-history.js';
import type { Effect } from '../effect.js';
import type {
  ObjectRead,
  ObjectRequestFailed,
  ObjectWriteRefused,
  ObjectWritten,
  StoreChanged,
} from '../event.js';
import { hash32 } from '../hash.js';
import { identifier, type StoreRequestId } from '../identifiers.js';
import { listLiveMembers } from '../membership/view.js';
import type { CoreState } from '../state.js';
import { RESTORE_RETRY_MS, RESTORE_STAGGER_MS } from './bounds.js';
import { findOwnRank } from './readers.js';
import type { OlderStore, RestoreItem } from './state.js';
import { isEdited, isNewer } from './apply-objects.js';

const RESTORE_TIMER = { purpose: 'configuration-read', subject: 'restore' } as const;
/** Consecutive answers below the revision in force after which the store is checked. */
const OUTDATED_ANSWERS_BEFORE_CHECK = 2;

type StoredVersion = Pick<StoreObject, 'version' | 'revision'>;

interface RestoreStep {
  readonly older: OlderStore;
  readonly item: RestoreItem;
}

/**
 * Returns the revision after which the store is watched; 0 while the store is older, to read all.
 */
export const watchRevision = (state: CoreState): number =>
  state.configuration.olderStore === undefined ? state.configuration.revision : 0;

/** Describes in which way the store is older; undefined when it is not known to be. */
export const describeOlderStore = (state: CoreState): string | undefined => {
  const older = state.configuration.olderStore;
  return older === undefined
    ? undefined
    : `the store shows revision ${older.through}, and revision ${older.inForce} is in force`;
};

const listEdited = (state: CoreState): StoreObject[] =>
  [...state.configuration.objects.values()].filter(({ content }) => isEdited(content));

const toItem = ({ name, content, version }: StoreObject): RestoreItem => ({
  name,
  content,
  aboveVersion: version,
});

/**
 * Lists the objects that the store is known to have lost. If there are none, lists one edited
 * object to be rewritten unchanged, which raises the store's revision.
 */
const listLostItems = (state: CoreState, through: number): RestoreItem[] => {
  const edited = listEdited(state);
  const lost = edited.filter((object) => object.revision > through);
  const rewritten = edited
    .slice(0, 1)
    .map(({ name, version }) => ({ name, aboveVersion: version }));
  return lost.length > 0 ? lost.map(toItem) : rewritten;
};

/** Staggers zones and the readers of a zone, so that normally a single reader does the restore. */
const restoreDelay = (state: CoreState): number => {
  const zones = new Set(listLiveMembers(state.membership).map(({ zone }) => zone));
  const ranked = [...zones].sort((a, b) => hash32(a) - hash32(b));
  const turn = Math.max(0, ranked.indexOf(state.self.zone));
  return (turn + Math.max(0, findOwnRank(state)) / 2) * RESTORE_STAGGER_MS;
};

/** Starts to restore a store that is older than the configuration in force. */
const beginRestore = (state: CoreState, event: StoreChanged): Effect[] => {
  const { configuration } = state;
  configuration.olderStore = {
    through: event.through,
    inForce: configuration.revision,
    queue: listLostItems(state, event.through),
    request: undefined,
    writes: 0,
  };
  state.counters.configuration_older_refused += 1;
  return [
    { type: 'watch-store', after: 0 },
    { type: 'set-timer', key: RESTORE_TIMER, at: event.at + restoreDelay(state) },
    {
      type: 'write-log',
      level: 'error',
      part: 'configuration',
      sentence: `the store shows revision ${event.through}, and revision ${configuration.revision} is in force: it is not followed`,
    },
  ];
};

const finishRestore = (state: CoreState, older: OlderStore): Effect[] => {
  state.configuration.olderStore = undefined;
  return [
    { type: 'cancel-timer', key: RESTORE_TIMER },
    {
      type: 'write-log',
      level: 'info',
      part: 'configuration',
      sentence: `the store is past revision ${older.inForce} again after ${older.writes} writes of this node`,
    },
  ];
};

/** Queues an item; a lost object replaces a queued item that would rewrite it unchanged. */
const enqueue = (older: OlderStore, item: RestoreItem): void => {
  const place = older.queue.findIndex(({ name }) => name === item.name);
  if (place < 0) {
    older.queue.push(item);
  } else if (older.queue[place]?.content === undefined) {
    older.queue[place] = item;
  }
};

/**
 * Queues objects that differ from those in force, and objects whose revision no node would accept.
 */
const queueDifferences = (
  state: CoreState,
  older: OlderStore,
  objects: readonly StoreObject[],
): void => {
  for (const object of objects) {
    const held = state.configuration.objects.get(object.name);
    if (held === undefined && object.revision <= older.inForce) {
      enqueue(older, { name: object.name, aboveVersion: object.version });
    }
    if (held !== undefined && isEdited(held.content) && isDifferent(object, held)) {
      enqueue(older, toItem(held));
    }
  }
};

const isDifferent = (object: StoreObject, held: StoreObject): boolean =>
  object.revision !== held.revision && !isNewer(object, held);

/** Queues the edited objects that are missing from `all`, the complete list of the store. */
const queueMissing = (state: CoreState, older: OlderStore, all: readonly StoreObject[]): void => {
  const names = new Set(all.map(({ name }) => name));
  for (const object of listEdited(state)) {
    if (!names.has(object.name)) {
      enqueue(older, toItem(object));
    }
  }
};

const isRestored = (older: OlderStore, item: RestoreItem, object: StoredVersion): boolean =>
  object.version > item.aboveVersion && object.revision > older.inForce;

const removeRestored = (older: OlderStore, objects: readonly StoreObject[]): void => {
  const storedByName = new Map(objects.map((object) => [object.name, object]));
  const kept = older.queue.filter((item) => {
    const object = storedByName.get(item.name);
    return object === undefined || !isRestored(older, item, object);
  });
  older.queue.splice(0, older.queue.length, ...kept);
};

/**
 * Returns the objects to apply: all of them, or those above the revision in force if the store is
 * older.
 */
export const selectApplicableObjects = (
  state: CoreState,
  event: StoreChanged,
): readonly StoreObject[] => {
  const older = state.configuration.olderStore;
  if (older === undefined) {
    return event.objects;
  }
  const below = event.objects.filter((object) => object.revision <= older.inForce);
  const above = event.objects.filter((object) => object.revision > older.inForce);
  state.counters.configuration_older_refused += below.length;
  queueDifferences(state, older, event.objects);
  if (event.after === 0) {
    queueMissing(state, older, event.objects);
  }
  removeRestored(older, above);
  return above;
};

/** Ends the restore when nothing is queued and the store exceeds the revision that was in force. */
export const finishRestoreIfComplete = (state: CoreState, through: number): Effect[] => {
  const older = state.configuration.olderStore;
  const isDone = older !== undefined && older.queue.length === 0 && through > older.inForce;
  return isDone ? finishRestore(state, older) : [];
};

/**
 * True for a store that lost writes and accepted others: it reuses versions under greater
 * revisions.
 */
const reusesVersions = (state: CoreState, objects: readonly StoreObject[]): boolean =>
  objects.some((object) => {
    const held = state.configuration.objects.get(object.name);
    return (
      held !== undefined &&
      isEdited(object.content) &&
      object.revision > held.revision &&
      object.version <= held.version
    );
  });

/**
 * Checks whether the store is older than the configuration in force. Returns undefined when the
 * answer can be applied as usual.
 */
export const detectOlderStore = (state: CoreState, event: StoreChanged): Effect[] | undefined => {
  const { configuration } = state;
  if (configuration.olderStore !== undefined) {
    return undefined;
  }
  if (event.through < event.after || reusesVersions(state, event.objects)) {
    return beginRestore(state, event);
  }
  const isShort = event.through < configuration.revision;
  configuration.watch.outdatedAnswers = isShort ? configuration.watch.outdatedAnswers + 1 : 0;
  if (configuration.watch.outdatedAnswers < OUTDATED_ANSWERS_BEFORE_CHECK) {
    return undefined;
  }
  configuration.watch.outdatedAnswers = 0;
  return [{ type: 'watch-store', after: configuration.revision }];
};

const nextRequest = (state: CoreState, older: OlderStore): StoreRequestId => {
  state.configuration.nextRequest += 1;
  const request = identifier<StoreRequestId>(`restore-${state.configuration.nextRequest}`);
  older.request = request;
  return request;
};

/** Reads the next queued object; its current version decides what is written. */
export const continueRestore = (state: CoreState): Effect[] => {
  const { configuration } = state;
  const older = configuration.olderStore;
  const item = older?.queue[0];
  if (older === undefined || item === undefined || !configuration.watch.watching) {
    return [];
  }
  return [{ type: 'read-object', request: nextRequest(state, older), name: item.name }];
};

const findRestoreStep = (state: CoreState, request: StoreRequestId): RestoreStep | undefined => {
  const older = state.configuration.olderStore;
  const item = older?.queue[0];
  return older === undefined || item === undefined || older.request !== request
    ? undefined
    : { older, item };
};

const skipItem = (state: CoreState, older: OlderStore): Effect[] => {
  older.queue.shift();
  return continueRestore(state);
};

/** Writes the queued content over the object read, unless the object is already restored. */
export const handleObjectRead = (state: CoreState, event: ObjectRead): Effect[] => {
  const current = findRestoreStep(state, event.request);
  if (current === undefined) {
    return [];
  }
  const { older, item } = current;
  const { object } = event;
  const content = item.content ? completeHistory(item.content, object?.content) : object?.content;
  if (content === undefined || (object !== undefined && isRestored(older, item, object))) {
    return skipItem(state, older);
  }
  return [
    {
      type: 'write-object',
      request: nextRequest(state, older),
      name: item.name,
      expectedVersion: object?.version ?? 0,
      content,
    },
  ];
};

/** Handles an accepted write of a restore; repeats it if its revision is still too low. */
export const handleObjectWritten = (state: CoreState, event: ObjectWritten): Effect[] => {
  const current = findRestoreStep(state, event.request);
  if (current === undefined) {
    return [];
  }
  const { older, item } = current;
  older.writes += 1;
  older.queue.shift();
  if (!isRestored(older, item, event)) {
    older.queue.push(item);
  }
  return continueRestore(state);
};

/** Handles a refused write of a restore: the version has changed, so the object is read again. */
export const handleWriteRefused = (state: CoreState, event: ObjectWriteRefused): Effect[] =>
  findRestoreStep(state, event.request) === undefined ? [] : continueRestore(state);

/** Retries after a failed request of a restore; the next read shows whether a write took effect. */
export const handleObjectRequestFailed = (
  state: CoreState,
  event: ObjectRequestFailed,
): Effect[] =>
  findRestoreStep(state, event.request) === undefined
    ? []
    : [{ type: 'set-timer', key: RESTORE_TIMER, at: event.at + RESTORE_RETRY_MS }];
