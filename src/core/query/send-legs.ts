/** Sends attempts of a query's legs to the feeders of their replicas, one message for each feeder. */
import type { LegAttempt } from '../../protocol/leg-messages.js';
import type { NodeIdentity } from '../../protocol/node-address.js';
import type { Effect } from '../effect.js';
import { type AttemptId, identifier, type NodeId } from '../identifiers.js';
import { acceptLegs } from '../replica/accept-legs.js';
import type { CoreState } from '../state.js';
import type { ActiveQuery, AttemptPurpose, AttemptRecord, LegState } from './active-query.js';
import { recordAttemptAtPeer } from './peer-observation.js';
import type { ReplicaTarget } from './query-plan.js';
import { recordSent } from './record-observation.js';
import { isUnavailable } from './replica-observation.js';
import { selectFeeder } from './select-feeder.js';
import { selectLastResort, selectReplica } from './select-replica.js';

/** A leg and the replica chosen for its next attempt. */
export interface ChosenLeg {
  readonly leg: LegState;
  readonly target: ReplicaTarget;
  readonly purpose: AttemptPurpose;
}

interface FeederBatch {
  readonly feeder: NodeIdentity;
  readonly legs: LegAttempt[];
}

const IDENTIFIER_RADIX = 36;

const countAttempt = (state: CoreState, query: ActiveQuery, purpose: AttemptPurpose): void => {
  query.sent += 1;
  state.counters.attempts_sent += 1;
  if (purpose === 'hedge' || purpose === 'probe') {
    query.hedges += 1;
    state.counters.hedges_sent += 1;
  } else if (purpose === 'retry') {
    query.retries += 1;
    state.counters.retries_sent += 1;
  }
};

/** Whether the attempt must be sent even to a silent replica, as no better choice is left. */
const isLastResort = (leg: LegState, target: ReplicaTarget, at: number): boolean =>
  leg.shard.replicas.length === 1 || leg.attempts.length > 0 || isUnavailable(target.observed, at);

const createAttempt = (
  state: CoreState,
  query: ActiveQuery,
  chosen: ChosenLeg,
  feeder: NodeIdentity,
  at: number,
): AttemptRecord => {
  const { leg, target, purpose } = chosen;
  query.attemptsMade += 1;
  const number = query.attemptsMade.toString(IDENTIFIER_RADIX);
  const attempt = identifier<AttemptId>(`${query.request}.${number}`);
  const record: AttemptRecord = {
    attempt,
    query,
    leg,
    target,
    feeder,
    purpose,
    insist: purpose === 'probe' || isLastResort(leg, target, at),
    sentAt: at,
    ended: false,
    unsent: false,
  };
  leg.attempts.push(record);
  leg.outstanding += purpose === 'probe' ? 0 : 1;
  state.query.attempts.set(attempt, record);
  recordSent(target.observed, at);
  if (purpose !== 'probe' && feeder.node !== state.self.node) {
    recordAttemptAtPeer(state.query.peers, feeder.node, at);
  }
  countAttempt(state, query, purpose);
  return record;
};

const addToBatch = (batches: Map<NodeId, FeederBatch>, record: AttemptRecord): void => {
  const { attempt, insist } = record;
  const { shard } = record.leg.shard;
  const { replica } = record.target.status;
  const leg: LegAttempt = insist
    ? { attempt, shard, replica, insist: true }
    : { attempt, shard, replica };
  const batch = batches.get(record.feeder.node);
  if (batch === undefined) {
    batches.set(record.feeder.node, { feeder: record.feeder, legs: [leg] });
  } else {
    batch.legs.push(leg);
  }
};

/**
 * Whether the feeder may delay answers to send several together. This requires that all shards are
 * required: the query then ends with the last answer, which is not delayed. With fewer required
 * shards, any answer may be the one that ends the query.
 */
const mayDelayAnswers = (
  state: CoreState,
  query: ActiveQuery,
  legs: readonly LegAttempt[],
): boolean =>
  legs.length > 1 &&
  query.row.safeToRepeat &&
  query.requiredShards === query.legs.length &&
  state.query.policy.resultWaitMs > 0;

const sendBatch = (
  state: CoreState,
  query: ActiveQuery,
  batch: FeederBatch,
  at: number,
  effects: Effect[],
): void => {
  const { context, deadlineAt } = query;
  const { feeder, legs } = batch;
  if (feeder.node === state.self.node) {
    const own = { coordinator: feeder.node, context, legs, deadlineAt, mayWait: false };
    acceptLegs(state, own, at, effects);
    return;
  }
  const remainingMs = deadlineAt - at;
  const message = { type: 'leg-batch', context, remainingMs, legs } as const;
  effects.push({
    type: 'send-link',
    to: feeder.node,
    address: feeder.address,
    message: { ...message, ...(mayDelayAnswers(state, query, legs) && { mayWait: true }) },
  });
};

/** Sends the chosen attempts, one batch per feeder; returns the legs whose replica has no feeder. */
export const sendChosen = (
  state: CoreState,
  query: ActiveQuery,
  chosen: readonly ChosenLeg[],
  at: number,
  effects: Effect[],
): LegState[] => {
  const batches = new Map<NodeId, FeederBatch>();
  const unsent: LegState[] = [];
  for (const each of chosen) {
    const feeder = selectFeeder(state, each.target, at);
    if (feeder === undefined) {
      unsent.push(each.leg);
    } else {
      addToBatch(batches, createAttempt(state, query, each, feeder, at));
    }
  }
  for (const batch of batches.values()) {
    sendBatch(state, query, batch, at, effects);
  }
  return unsent;
};

/** Sends one attempt for each of `legs`; returns the legs without a replica or feeder. */
export const sendLegs = (
  state: CoreState,
  query: ActiveQuery,
  legs: readonly LegState[],
  purpose: AttemptPurpose,
  at: number,
  effects: Effect[],
): LegState[] => {
  const chosen: ChosenLeg[] = [];
  const unsent: LegState[] = [];
  for (const leg of legs) {
    const target = selectReplica(state, leg, at) ?? selectLastResort(state, leg, at);
    if (target === undefined) {
      unsent.push(leg);
    } else {
      chosen.push({ leg, target, purpose });
    }
  }
  unsent.push(...sendChosen(state, query, chosen, at, effects));
  return unsent;
};
