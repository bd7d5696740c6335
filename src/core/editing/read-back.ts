/**
 * Determines the result of an unanswered write before it times out: from the configuration in
 * force, or by reading the object.
 *
 * If the history contains the edit's id, the write took effect. If the object has a later version
 * than the write expects but lacks the id, the write never will. If the object still has that
 * version, the result is not known yet.
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

/** Finishes the edit as accepted if the history of `object` contains it; else returns undefined. */
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

/** Reads the object while a write is unanswered. */
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

/** Handles a failed read-back; the answer to the write may still arrive. */
export const handleReadBackFailure = (
  state: CoreState,
  progress: EditInProgress,
  at: number,
): Effect[] => {
  clearReadBack(state, progress);
  return [scheduleReadBack(state, progress, at)];
};

/** Handles the object read back while a write is unanswered. */
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

/** Finishes edits with an unanswered write that are part of the changed configuration in force. */
export const settleFromConfiguration = (state: CoreState): Effect[] => {
  const first = [...state.editing.queues.values()].flatMap((queue) => queue.slice(0, 1));
  return first.flatMap((progress) => settleEdit(state, progress));
};
