/**
 * Learns what became of a write while its answer is missing, rather than wait for its time-out: from
 * what the watch has brought into force, or from a read of the object.
 *
 * The edit's id in the history says that the write took effect. Where the object stands past the
 * version that the write expects and lacks the id, it never will. While it stands at that version,
 * nothing is known yet.
 */
import type { StoreObject } from '../../catalog/store-object.js';
import { historyOf } from '../../table/spread-history.js';
import { describeOlderStore } from '../configuration/older-store.js';
import type { Effect } from '../effect.js';
import type { CoreState } from '../state.js';
import {
  backOffAfterContention,
  finishEdit,
  recordHeldObject,
  createRequest,
  scheduleReadBack,
} from './edit-flow.js';
import { findRecord } from './edit-history.js';
import { findOlderStore } from './find-older-store.js';
import type { EditInProgress } from './state.js';

/** Tells the edit as accepted if it stands in the history of `object`; undefined if it doesn't. */
const acceptIfRecorded = (
  state: CoreState,
  progress: EditInProgress,
  object: StoreObject,
): Effect[] | undefined => {
  const { edit } = progress.edit;
  const record = findRecord(historyOf(object.content), edit);
  if (record?.digest !== progress.digest) {
    return undefined;
  }
  const { revision } = object;
  const { findings } = progress;
  const version = record.sheetVersion;
  return finishEdit(state, progress, { type: 'accepted', edit, version, revision, findings });
};

/** The write under way has had no answer for a while: reads the object. */
export const startReadBack = (state: CoreState, progress: EditInProgress): Effect[] => {
  recordHeldObject(state, progress);
  progress.readBacks += 1;
  progress.readBack = createRequest(state, progress);
  return [{ type: 'read-object', request: progress.readBack, name: progress.objectName }];
};

const clearReadBack = (state: CoreState, progress: EditInProgress): void => {
  if (progress.readBack !== undefined) {
    state.editing.byRequest.delete(progress.readBack);
    delete progress.readBack;
  }
};

/** The read failed; the answer to the write may still come. */
export const handleReadBackFailure = (
  state: CoreState,
  progress: EditInProgress,
  at: number,
): Effect[] => {
  clearReadBack(state, progress);
  return [scheduleReadBack(state, progress, at)];
};

/** Takes the object as it stands while the write has no answer. */
export const handleReadBack = (
  state: CoreState,
  progress: EditInProgress,
  object: StoreObject | undefined,
  at: number,
): Effect[] => {
  clearReadBack(state, progress);
  const older = findOlderStore(progress.heldAtRead, object) ?? describeOlderStore(state);
  const isPast = object !== undefined && object.version > progress.expectedVersion;
  if (older !== undefined || !isPast) {
    return [scheduleReadBack(state, progress, at)];
  }
  const accepted = acceptIfRecorded(state, progress, object);
  if (accepted !== undefined) {
    return accepted;
  }
  progress.unresolvedVersion = progress.expectedVersion;
  return backOffAfterContention(state, progress, at);
};

const settleEdit = (state: CoreState, progress: EditInProgress): Effect[] => {
  const isUnresolved = progress.stage === 'writing' || progress.unresolvedVersion !== undefined;
  const held = state.configuration.objects.get(progress.objectName);
  return isUnresolved && held !== undefined ? (acceptIfRecorded(state, progress, held) ?? []) : [];
};

/** What is in force has changed: looks whether an edit stands in it whose write has no answer. */
export const settleFromConfiguration = (state: CoreState): Effect[] => {
  const first = [...state.editing.queues.values()].flatMap((queue) => queue.slice(0, 1));
  return first.flatMap((progress) => settleEdit(state, progress));
};
