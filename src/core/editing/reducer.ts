/** The editing slice: applies operators' edits to the store, one at a time for each object. */
import type { EditOutcome } from '../../table/edit.js';
import type { Effect } from '../effect.js';
import type {
  EditRequested,
  Event,
  ObjectRead,
  ObjectRequestFailed,
  ObjectWriteRefused,
  ObjectWritten,
} from '../event.js';
import { sendStoreHintsIfNewer } from '../configuration/store-hint.js';
import type { CoreState } from '../state.js';
import type { TimerKey } from '../timer-key.js';
import { CALLS_PER_EDIT_LIMIT, EDIT_DEADLINE_MS, EDITS_IN_PROGRESS_LIMIT } from './bounds.js';
import { objectOfEdit } from './decide-edit.js';
import {
  backOffAfterContention,
  backOffAfterFailure,
  continueWithObject,
  deadlineTimer,
  discardRequests,
  finishEdit,
  readObject,
} from './edit-flow.js';
import { digestEdit } from './edit-history.js';
import {
  handleReadBackFailure,
  startReadBack,
  settleFromConfiguration,
  handleReadBack,
} from './read-back.js';
import type { EditInProgress } from './state.js';

const answer = (event: EditRequested, outcome: EditOutcome): Effect[] => [
  { type: 'answer-operator', call: event.call, outcome },
];

/** Answers an edit that was not processed; it is unknown whether it was applied earlier. */
const answerNotProcessed = (event: EditRequested, problem: string): Effect[] =>
  answer(event, { type: 'unknown', edit: event.edit.edit, problem: `not tried: ${problem}` });

const attachCall = (progress: EditInProgress, event: EditRequested): Effect[] => {
  if (progress.digest !== digestEdit(event.edit)) {
    const place = `edit ${event.edit.edit}`;
    const problem = 'its id belongs to another edit';
    const findings = [{ severity: 'error', place, problem, allowed: 'a new id' } as const];
    return answer(event, { type: 'refused', edit: event.edit.edit, findings });
  }
  if (progress.calls.length >= CALLS_PER_EDIT_LIMIT) {
    return answerNotProcessed(event, 'too many deliveries of this edit wait already');
  }
  progress.calls.push(event.call);
  return [];
};

const queueEdit = (state: CoreState, progress: EditInProgress, at: number): Effect[] => {
  const { inProgress, queues } = state.editing;
  const queue = queues.get(progress.objectName) ?? [];
  queue.push(progress);
  queues.set(progress.objectName, queue);
  inProgress.set(progress.key, progress);
  const deadline: Effect = {
    type: 'set-timer',
    key: deadlineTimer(progress.key),
    at: at + EDIT_DEADLINE_MS,
  };
  return queue.length === 1 ? [deadline, ...readObject(state, progress)] : [deadline];
};

const handleEditRequested = (state: CoreState, event: EditRequested): Effect[] => {
  const { edit, call, at } = event;
  const key = `${edit.partner}/${edit.edit}`;
  const running = state.editing.inProgress.get(key);
  if (running !== undefined) {
    return attachCall(running, event);
  }
  if (state.phase !== 'serving') {
    return answerNotProcessed(event, `the node is ${state.phase}`);
  }
  if (state.editing.inProgress.size >= EDITS_IN_PROGRESS_LIMIT) {
    return answerNotProcessed(event, 'the node works on too many edits already');
  }
  const progress: EditInProgress = {
    key,
    edit,
    digest: digestEdit(edit),
    objectName: objectOfEdit(edit),
    calls: [call],
    stage: 'queued',
    readBacks: 0,
    expectedVersion: 0,
    failures: 0,
    contentions: 0,
    problem: 'it waited behind other edits of the same object',
    findings: [],
  };
  return queueEdit(state, progress, at);
};

const handleObjectRead = (state: CoreState, event: ObjectRead): Effect[] => {
  const progress = state.editing.byRequest.get(event.request);
  if (progress === undefined) {
    return [];
  }
  const { object, at } = event;
  const hints = sendStoreHintsIfNewer(state, object?.revision ?? 0, at);
  const isReadBack = event.request === progress.readBack;
  const next = isReadBack
    ? handleReadBack(state, progress, object, at)
    : continueWithObject(state, progress, object, at);
  return [...next, ...hints];
};

const handleObjectWritten = (state: CoreState, event: ObjectWritten): Effect[] => {
  const progress = state.editing.byRequest.get(event.request);
  if (progress === undefined) {
    return [];
  }
  const { edit } = progress.edit;
  const { version, revision } = event;
  const { findings } = progress;
  const hints = sendStoreHintsIfNewer(state, revision, event.at);
  const outcome: EditOutcome = { type: 'accepted', edit, version, revision, findings };
  return [...finishEdit(state, progress, outcome), ...hints];
};

const handleWriteRefused = (state: CoreState, event: ObjectWriteRefused): Effect[] => {
  const progress = state.editing.byRequest.get(event.request);
  return progress === undefined ? [] : backOffAfterContention(state, progress, event.at);
};

const handleObjectRequestFailed = (state: CoreState, event: ObjectRequestFailed): Effect[] => {
  const progress = state.editing.byRequest.get(event.request);
  if (progress === undefined) {
    return [];
  }
  return event.request === progress.readBack
    ? handleReadBackFailure(state, progress, event.at)
    : backOffAfterFailure(state, progress, event.at, event.problem);
};

const retryEdit = (state: CoreState, progress: EditInProgress): Effect[] => {
  if (progress.stage === 'writing') {
    return startReadBack(state, progress);
  }
  discardRequests(state, progress);
  return readObject(state, progress);
};

const handleTimer = (state: CoreState, key: TimerKey): Effect[] => {
  const progress = state.editing.inProgress.get(key.subject);
  if (progress === undefined) {
    return [];
  }
  if (key.purpose === 'editing-retry') {
    return retryEdit(state, progress);
  }
  const { edit } = progress.edit;
  return finishEdit(state, progress, { type: 'unknown', edit, problem: progress.problem });
};

/** Handles an event of the editing slice. */
export const reduceEditing = (state: CoreState, event: Event): Effect[] => {
  switch (event.type) {
    case 'edit-requested':
      return handleEditRequested(state, event);
    case 'object-read':
      return handleObjectRead(state, event);
    case 'object-written':
      return handleObjectWritten(state, event);
    case 'object-write-refused':
      return handleWriteRefused(state, event);
    case 'object-request-failed':
      return handleObjectRequestFailed(state, event);
    case 'timer-fired':
      return handleTimer(state, event.key);
    case 'store-changed':
    case 'link-message-arrived':
      return settleFromConfiguration(state);
    default:
      return [];
  }
};
