/** Ends queries: determines the outcome, answers the caller and cancels outstanding attempts. */
import type { UnknownReason } from '../../protocol/leg-messages.js';
import type { NodeIdentity } from '../../protocol/node-address.js';
import { releaseQuery } from '../admission/admit-query.js';
import { endClaim } from '../once/claim.js';
import type { Effect } from '../effect.js';
import type { AttemptId, NodeId } from '../identifiers.js';
import { cancelLegs } from '../replica/cancel-legs.js';
import type { CoreState } from '../state.js';
import type { ActiveQuery, AttemptRecord, LegState } from './active-query.js';
import { logIncompleteAnswer } from './incomplete-answer-log.js';
import { recordQueryEnded } from './overload-limit.js';
import { recordAttemptAtPeerEnded } from './peer-observation.js';
import { recordCancelled } from './record-outcome.js';
import type {
  MissingReason,
  MissingShard,
  QueryCost,
  QueryOutcome,
  RefusalReason,
} from './query-request.js';

const UNKNOWN_REASONS: ReadonlySet<string> = new Set<UnknownReason>([
  'timed-out',
  'connection-lost',
  'bad-answer',
  'server-error',
  'cancelled',
  'peer-lost',
]);

/** Marks a leg as missing; no further attempt is sent for it. */
export const markMissing = (query: ActiveQuery, leg: LegState, reason: MissingReason): void => {
  leg.status = 'missing';
  leg.reason = reason;
  query.open -= 1;
};

const costOf = (query: ActiveQuery): QueryCost => ({
  needed: query.needed,
  sent: query.sent,
  hedges: query.hedges,
  retries: query.retries,
});

interface CancelBatch {
  readonly feeder: NodeIdentity;
  readonly attempts: AttemptId[];
}

/** Ends attempts at their coordinator and sends each feeder one message that cancels its part. */
export const cancelAttempts = (
  state: CoreState,
  records: readonly AttemptRecord[],
  at: number,
  effects: Effect[],
): void => {
  const batches = new Map<NodeId, CancelBatch>();
  for (const record of records) {
    markAttemptEnded(state, record, at);
    recordCancelled(state, record, at);
    state.counters.attempts_cancelled += 1;
    const batch = batches.get(record.feeder.node);
    if (batch === undefined) {
      batches.set(record.feeder.node, { feeder: record.feeder, attempts: [record.attempt] });
    } else {
      batch.attempts.push(record.attempt);
    }
  }
  for (const { feeder, attempts } of batches.values()) {
    if (feeder.node === state.self.node) {
      cancelLegs(state, state.self.node, attempts, at, effects);
    } else {
      const message = { type: 'leg-cancel', attempts } as const;
      effects.push({ type: 'send-link', to: feeder.node, address: feeder.address, message });
    }
  }
};

/** Marks an attempt as ended. Its record stays until the query ends, to detect duplicate answers. */
export const markAttemptEnded = (state: CoreState, record: AttemptRecord, at: number): void => {
  record.ended = true;
  if (record.purpose === 'probe') {
    return;
  }
  record.leg.outstanding -= 1;
  if (record.feeder.node !== state.self.node) {
    recordAttemptAtPeerEnded(state.query.peers, record.feeder.node, at);
  }
};

/** Cancels outstanding attempts except probes, whose results still show the state of their replicas. */
export const releaseLegs = (
  state: CoreState,
  query: ActiveQuery,
  at: number,
  effects: Effect[],
): void => {
  const cancelled: AttemptRecord[] = [];
  for (const leg of query.legs) {
    for (const record of leg.attempts) {
      if (record.purpose === 'probe' && !record.ended) {
        continue;
      }
      if (!record.ended) {
        cancelled.push(record);
      }
      state.query.attempts.delete(record.attempt);
    }
  }
  if (cancelled.length > 0) {
    cancelAttempts(state, cancelled, at, effects);
  }
};

/** The counter for each type of outcome. */
const COUNTER_OF_OUTCOME = {
  answered: 'queries_answered',
  'not-run': 'queries_not_run',
  unknown: 'queries_unknown',
} as const;

const closeQuery = (
  state: CoreState,
  query: ActiveQuery,
  outcome: QueryOutcome,
  at: number,
  effects: Effect[],
): void => {
  const { request, call } = query;
  state.counters[COUNTER_OF_OUTCOME[outcome.type]] += 1;
  releaseLegs(state, query, at, effects);
  state.query.queries.delete(request);
  state.query.requestOfCall.delete(call);
  state.query.inProgress -= 1;
  recordQueryEnded(query.observed.overload, at);
  effects.push(...releaseQuery(state, query.row, at));
  effects.push(...endClaim(state, request, outcome.type !== 'not-run', at));
  effects.push({ type: 'cancel-timer', key: { purpose: 'query-deadline', subject: request } });
  if (query.hedgeArmed) {
    effects.push({ type: 'cancel-timer', key: { purpose: 'query-hedge', subject: request } });
  }
  effects.push({ type: 'answer-caller', call, outcome });
};

const describeNotRun = (query: ActiveQuery, reason: RefusalReason): QueryOutcome => ({
  type: 'not-run',
  request: query.request,
  reason,
  cost: costOf(query),
});

/** Refuses a query in progress; the caller has made sure that no attempt of it has run. */
export const refuseActiveQuery = (
  state: CoreState,
  query: ActiveQuery,
  reason: RefusalReason,
  at: number,
  effects: Effect[],
): void => {
  closeQuery(state, query, describeNotRun(query, reason), at, effects);
};

const listMissing = (query: ActiveQuery, fallback: MissingReason): MissingShard[] => {
  const missing: MissingShard[] = [];
  for (const leg of query.legs) {
    if (leg.status !== 'answered') {
      const reason = leg.status === 'missing' ? (leg.reason ?? fallback) : fallback;
      missing.push({ shard: leg.shard.shard, reason });
    }
  }
  return missing;
};

/** Whether an attempt of the leg has run, may have run or is still outstanding. */
export const mayHaveRun = (leg: LegState): boolean =>
  leg.status === 'answered' || leg.mayHaveRun || leg.attempts.some((record) => !record.ended);

const findUnknownReason = (query: ActiveQuery): UnknownReason => {
  const leg = query.legs.find((each) => each.status !== 'answered' && mayHaveRun(each));
  const reason = leg?.reason;
  return reason !== undefined && UNKNOWN_REASONS.has(reason)
    ? (reason as UnknownReason)
    : 'timed-out';
};

const describeAnswer = (query: ActiveQuery, fallback: MissingReason): QueryOutcome => ({
  type: 'answered',
  request: query.request,
  snapshot: query.context.snapshot,
  items: query.merge.finish(),
  shards: query.legs.length,
  contributed: query.contributed,
  missing: listMissing(query, fallback),
  cost: costOf(query),
});

const describeUnknown = (query: ActiveQuery): QueryOutcome => ({
  type: 'unknown',
  request: query.request,
  reason: findUnknownReason(query),
  cost: costOf(query),
});

const describeOutcome = (query: ActiveQuery, fallback: MissingReason): QueryOutcome => {
  if (!query.legs.some(mayHaveRun)) {
    return describeNotRun(query, 'legs-refused');
  }
  const hasUnknownLeg = query.legs.some((leg) => leg.status !== 'answered' && mayHaveRun(leg));
  return hasUnknownLeg && !query.row.safeToRepeat
    ? describeUnknown(query)
    : describeAnswer(query, fallback);
};

/**
 * Ends a query with the answers received so far. A request that is not safe to repeat ends `unknown`
 * if a leg without an answer may have run. Any request of which provably nothing ran ends `not-run`.
 *
 * @param fallback - reason reported for shards that are still open
 */
export const finishQuery = (
  state: CoreState,
  query: ActiveQuery,
  fallback: MissingReason,
  at: number,
  effects: Effect[],
): void => {
  if (query.contributed < query.requiredShards && fallback !== 'cancelled') {
    effects.push(...logIncompleteAnswer(state, query, fallback, at));
  }
  closeQuery(state, query, describeOutcome(query, fallback), at, effects);
};

/** Ends the query if no leg is open or the required coverage is reached; returns whether it ended. */
export const finishIfDone = (
  state: CoreState,
  query: ActiveQuery,
  at: number,
  effects: Effect[],
): boolean => {
  const covered = query.row.safeToRepeat && query.contributed >= query.requiredShards;
  if (query.open > 0 && !covered) {
    return false;
  }
  finishQuery(state, query, 'coverage-reached', at, effects);
  return true;
};
