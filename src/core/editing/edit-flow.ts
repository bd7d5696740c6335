/**
 * Applies an edit to the store: read, decide and write by compare-and-set, repeated when the object
 * changed or the store failed, until there is an outcome or the deadline has passed.
 *
 * A write whose answer is lost is resolved by the next read, see `read-back.ts`: if it took effect,
 * the history contains the edit's id. An outcome is final only if it follows from an answer of the
 * store or from the configuration in force; otherwise it is `unknown`.
 */
import { match } from 'ts-pattern';
import type { StoreObject } from '../../catalog/store-object.js';
import { listBackendServices } from '../../table/backend-service.js';
import type { EditOutcome } from '../../table/edit.js';
import { describeOlderStore } from '../configuration/older-store.js';
import type { Effect, LogPart } from '../effect.js';
import {
  identifier,
  type PartnerId,
  type ServiceName,
  type StoreRequestId,
} from '../identifiers.js';
import type { CoreState } from '../state.js';
import type { TimerKey } from '../timer-key.js';
import {
  CONTENTION_BACKOFF_BASE_MS,
  CONTENTION_BACKOFF_LIMIT_MS,
  FAILURE_BACKOFF_BASE_MS,
  FAILURE_BACKOFF_LIMIT_MS,
  READ_BACK_BASE_MS,
  READ_BACK_LIMIT_MS,
  MIN_LEGS_FOR_MEAN,
} from './bounds.js';
import { decideEdit } from './decide-edit.js';
import type { EditContext, EditDecision } from './edit-decision.js';
import { findOlderStore } from './find-older-store.js';
import type { EditInProgress } from './state.js';

const PART: LogPart = 'editing';

const OUTCOME_COUNTERS = {
  accepted: 'edits_accepted',
  refused: 'edits_refused',
  conflict: 'edits_conflicting',
  expired: 'edits_expired',
  unknown: 'edits_unknown',
} as const;

/** Key of the timer for the deadline of an edit. */
export const deadlineTimer = (key: string): TimerKey => ({
  purpose: 'editing-deadline',
  subject: key,
});

/** Key of the timer after which an edit is retried or its write is read back. */
const retryTimer = (key: string): TimerKey => ({ purpose: 'editing-retry', subject: key });

/** Allocates and registers the id of a store request for an edit. */
export const createRequest = (state: CoreState, progress: EditInProgress): StoreRequestId => {
  state.editing.requests += 1;
  const request = identifier<StoreRequestId>(`edit-${state.editing.requests}`);
  state.editing.byRequest.set(request, progress);
  return request;
};

const startRequest = (state: CoreState, progress: EditInProgress): StoreRequestId => {
  progress.request = createRequest(state, progress);
  return progress.request;
};

/** Discards the requests in progress; answers that arrive later are ignored. */
export const discardRequests = (state: CoreState, progress: EditInProgress): void => {
  for (const request of [progress.request, progress.readBack]) {
    if (request !== undefined) {
      state.editing.byRequest.delete(request);
    }
  }
  delete progress.request;
  delete progress.readBack;
};

/** Records the object in force when a read is sent; the object read must not be older. */
export const recordHeldObject = (state: CoreState, progress: EditInProgress): void => {
  const held = state.configuration.objects.get(progress.objectName);
  if (held === undefined) {
    delete progress.heldAtRead;
  } else {
    progress.heldAtRead = held;
  }
};

/** Reads the object that the edit changes. */
export const readObject = (state: CoreState, progress: EditInProgress): Effect[] => {
  if (progress.stage === 'queued') {
    progress.problem = 'the store has not answered';
  }
  progress.stage = 'reading';
  recordHeldObject(state, progress);
  const request = startRequest(state, progress);
  return [{ type: 'read-object', request, name: progress.objectName }];
};

const startNext = (state: CoreState, finished: EditInProgress): Effect[] => {
  const queue = state.editing.queues.get(finished.objectName) ?? [];
  const wasFirst = queue[0] === finished;
  const rest = queue.filter((each) => each !== finished);
  const [next] = rest;
  if (next === undefined) {
    state.editing.queues.delete(finished.objectName);
    return [];
  }
  state.editing.queues.set(finished.objectName, rest);
  return wasFirst ? readObject(state, next) : [];
};

const describeOutcome = (progress: EditInProgress, outcome: EditOutcome): string => {
  const { edit, objectName } = progress;
  const subject = `Edit ${edit.edit} of ${edit.partner} by ${edit.operator}`;
  return match(outcome)
    .with(
      { type: 'accepted' },
      ({ version }) => `${subject} made ${objectName} version ${version}.`,
    )
    .with({ type: 'refused' }, ({ findings }) => `${subject} was refused: ${findings[0]?.problem}.`)
    .with({ type: 'conflict' }, ({ conflicts }) => `${subject} conflicts on ${conflicts[0]?.row}.`)
    .with({ type: 'expired' }, ({ problem }) => `${subject} is too old: ${problem}.`)
    .with({ type: 'unknown' }, ({ problem }) => `${subject} has no known outcome: ${problem}.`)
    .exhaustive();
};

/** Answers all calls that wait for the edit, and starts the next edit of the same object. */
export const finishEdit = (
  state: CoreState,
  progress: EditInProgress,
  outcome: EditOutcome,
): Effect[] => {
  discardRequests(state, progress);
  state.editing.inProgress.delete(progress.key);
  state.counters[OUTCOME_COUNTERS[outcome.type]] += 1;
  const answers = progress.calls.map((call): Effect => ({
    type: 'answer-operator',
    call,
    outcome,
  }));
  const sentence = describeOutcome(progress, outcome);
  return [
    ...answers,
    { type: 'cancel-timer', key: deadlineTimer(progress.key) },
    { type: 'cancel-timer', key: retryTimer(progress.key) },
    { type: 'write-log', level: 'info', part: PART, sentence },
    ...startNext(state, progress),
  ];
};

/** Retries after a jittered delay that grows with `attempt`, counted from 1. */
const backOff = (
  state: CoreState,
  progress: EditInProgress,
  at: number,
  attempt: number,
  bounds: { readonly base: number; readonly limit: number },
): Effect[] => {
  discardRequests(state, progress);
  progress.stage = 'backing-off';
  state.counters.edit_retries += 1;
  const ceiling = Math.min(bounds.limit, bounds.base * 2 ** (attempt - 1));
  const wait = Math.ceil(ceiling * state.random.next());
  return [{ type: 'set-timer', key: retryTimer(progress.key), at: at + wait }];
};

/** Backs off after the store failed or did not answer; a write may have taken effect. */
export const backOffAfterFailure = (
  state: CoreState,
  progress: EditInProgress,
  at: number,
  problem: string,
): Effect[] => {
  if (progress.stage === 'writing') {
    progress.unresolvedVersion = progress.expectedVersion;
  }
  progress.problem = `the store failed: ${problem}`;
  progress.failures += 1;
  const bounds = { base: FAILURE_BACKOFF_BASE_MS, limit: FAILURE_BACKOFF_LIMIT_MS };
  return backOff(state, progress, at, progress.failures, bounds);
};

/** Backs off after another write of the object was accepted first. */
export const backOffAfterContention = (
  state: CoreState,
  progress: EditInProgress,
  at: number,
): Effect[] => {
  progress.problem = `${progress.objectName} kept changing`;
  progress.failures = 0;
  progress.contentions += 1;
  const bounds = { base: CONTENTION_BACKOFF_BASE_MS, limit: CONTENTION_BACKOFF_LIMIT_MS };
  return backOff(state, progress, at, progress.contentions, bounds);
};

const listPartners = (state: CoreState): PartnerId[] => {
  const partners = new Set<PartnerId>();
  for (const { content } of state.configuration.objects.values()) {
    if (content.type === 'sheet') {
      partners.add(content.sheet.partner);
    } else if (content.type === 'keys') {
      partners.add(content.keys.partner);
    }
  }
  return [...partners];
};

/** Returns the mean leg latency of a service at this node, once it has observed enough legs. */
const findMeanLegLatency = (
  state: CoreState,
  partner: PartnerId,
  service: ServiceName,
): number | undefined => {
  const seen = state.query.observations.services.get(`${partner}/${service}`);
  return seen !== undefined && seen.samples >= MIN_LEGS_FOR_MEAN ? seen.latencyMs : undefined;
};

const createContext = (
  state: CoreState,
  progress: EditInProgress,
  object: StoreObject | undefined,
): EditContext => {
  const { services, layouts } = state.configuration.inForce;
  const { partner } = progress.edit;
  const statuses = services.get(partner);
  const known =
    statuses === undefined
      ? undefined
      : listBackendServices(statuses.values(), layouts.get(partner), (service) =>
          findMeanLegLatency(state, partner, service),
        );
  return { object, services: known, partners: listPartners(state) };
};

const finishWithDecision = (
  state: CoreState,
  progress: EditInProgress,
  decision: Exclude<EditDecision, { readonly type: 'write' }>,
  object: StoreObject | undefined,
): Effect[] => {
  const { edit } = progress.edit;
  const outcome = match(decision)
    .with({ type: 'applied' }, ({ record }): EditOutcome => ({
      type: 'accepted',
      edit,
      version: record.sheetVersion,
      revision: object?.revision ?? 0,
      findings: [],
    }))
    .with({ type: 'refused' }, ({ findings }): EditOutcome => ({ type: 'refused', edit, findings }))
    .with({ type: 'conflict' }, ({ conflicts }) => ({ type: 'conflict' as const, edit, conflicts }))
    .with({ type: 'expired' }, ({ problem }) => ({ type: 'expired' as const, edit, problem }))
    .exhaustive();
  return finishEdit(state, progress, outcome);
};

/** Schedules a read-back of the write in progress, after a jittered delay that grows. */
export const scheduleReadBack = (
  state: CoreState,
  progress: EditInProgress,
  at: number,
): Effect => {
  const ceiling = Math.min(READ_BACK_LIMIT_MS, READ_BACK_BASE_MS * 2 ** progress.readBacks);
  const wait = Math.ceil((ceiling * (1 + state.random.next())) / 2);
  return { type: 'set-timer', key: retryTimer(progress.key), at: at + wait };
};

const writeObject = (
  state: CoreState,
  progress: EditInProgress,
  decision: Extract<EditDecision, { readonly type: 'write' }>,
  version: number,
  at: number,
): Effect[] => {
  progress.stage = 'writing';
  progress.expectedVersion = version;
  progress.findings = decision.findings;
  progress.readBacks = 0;
  const request = startRequest(state, progress);
  const { objectName: name } = progress;
  const { content } = decision;
  return [
    { type: 'write-object', request, name, expectedVersion: version, content },
    scheduleReadBack(state, progress, at),
  ];
};

/**
 * Refuses an edit because the store is older, unless the edit is already part of the object in
 * force.
 */
const refuseOlderStore = (
  state: CoreState,
  progress: EditInProgress,
  problem: string,
): Effect[] => {
  const inForce = state.configuration.objects.get(progress.objectName);
  const decision = decideEdit(progress.edit, createContext(state, progress, inForce));
  if (decision.type === 'applied') {
    return finishWithDecision(state, progress, decision, inForce);
  }
  const { edit } = progress.edit;
  const sentence = `Nothing is written over an older store: ${problem}.`;
  const outcome: EditOutcome =
    progress.unresolvedVersion === undefined
      ? {
          type: 'refused',
          edit,
          findings: [{ severity: 'error', place: progress.objectName, problem }],
        }
      : { type: 'unknown', edit, problem };
  return [
    { type: 'write-log', level: 'error', part: PART, sentence },
    ...finishEdit(state, progress, outcome),
  ];
};

/** Decides an edit whose object has been read, and writes the object or finishes the edit. */
export const continueWithObject = (
  state: CoreState,
  progress: EditInProgress,
  object: StoreObject | undefined,
  at: number,
): Effect[] => {
  discardRequests(state, progress);
  progress.failures = 0;
  const older = findOlderStore(progress.heldAtRead, object) ?? describeOlderStore(state);
  if (older !== undefined) {
    return refuseOlderStore(state, progress, older);
  }
  const version = object?.version ?? 0;
  const decision = decideEdit(progress.edit, createContext(state, progress, object));
  if (decision.type === 'write') {
    return writeObject(state, progress, decision, version, at);
  }
  if (decision.type !== 'applied' && progress.unresolvedVersion === version) {
    const problem = 'an earlier write of it may still take effect';
    return finishEdit(state, progress, { type: 'unknown', edit: progress.edit.edit, problem });
  }
  return finishWithDecision(state, progress, decision, object);
};
