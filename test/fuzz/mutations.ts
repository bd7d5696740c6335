/**
 * Mutations of the core that violate each invariant by wrapping the step function. They belong to
 * the tests; the core itself has no switch for them.
 */
import type { StoreObject } from '../../src/catalog/store-object.js';
import { deriveInForce } from '../../src/core/configuration/derive-in-force.js';
import type { Effect } from '../../src/core/effect.js';
import type { Event } from '../../src/core/event.js';
import type { CallId } from '../../src/core/identifiers.js';
import { step } from '../../src/core/reducer.js';
import type { CoreState } from '../../src/core/state.js';
import type { AttemptOutcome, LegResult } from '../../src/protocol/leg-messages.js';
import type { PromiseName } from '../../src/protocol/promise-name.js';
import type { StepFunction } from '../../src/simulation/node-environment.js';

/** A faulty variant of the core. */
export interface Mutation {
  readonly promise: PromiseName;
  readonly name: string;
  /** Creates the step function; each run of a history uses its own. */
  readonly createStep: () => StepFunction;
}

type MapEffect = (effect: Effect, state: CoreState) => Effect[];

const withEffects =
  (map: MapEffect): (() => StepFunction) =>
  () =>
  (state, event) =>
    step(state, event).flatMap((effect) => map(effect, state));

const mapResults = (event: Event, map: (result: LegResult) => LegResult): Event => {
  if (event.type === 'attempts-ended') {
    return { ...event, results: event.results.map(map) };
  }
  if (event.type === 'link-message-arrived' && event.message.type === 'leg-results') {
    return {
      ...event,
      message: { ...event.message, results: event.message.results.map(map) },
    };
  }
  return event;
};

/** Feeders request a snapshot other than the pinned one, and answers are not checked for it. */
const createMixedSnapshots = (): StepFunction => {
  const pinned = new Map<string, number>();
  return (state, event) => {
    const unverified = mapResults(event, (result) => {
      const snapshot = pinned.get(result.attempt);
      return result.outcome.type === 'answered' && snapshot !== undefined
        ? { ...result, outcome: { ...result.outcome, snapshot } }
        : result;
    });
    return step(state, unverified).map((effect) => {
      if (effect.type !== 'send-attempt') {
        return effect;
      }
      const { context, leg, replica } = effect;
      pinned.set(leg.attempt, context.snapshot);
      const snapshot = replica.snapshots.find((version) => version !== context.snapshot);
      return snapshot === undefined ? effect : { ...effect, context: { ...context, snapshot } };
    });
  };
};

/** Missing shards are not listed in the answer and are counted as contributing. */
const claimFullCoverage: MapEffect = (effect) => {
  if (effect.type !== 'answer-caller' || effect.outcome.type !== 'answered') {
    return [effect];
  }
  const { outcome } = effect;
  return [{ ...effect, outcome: { ...outcome, contributed: outcome.shards, missing: [] } }];
};

/** Two calls in progress at one node receive each other's answers. */
const createSwappedCalls = (): StepFunction => {
  const partners = new Map<CallId, CallId>();
  const open = new WeakMap<CoreState, CallId>();
  return (state, event) => {
    if (event.type === 'query-arrived') {
      const other = open.get(state);
      if (other === undefined) {
        open.set(state, event.call);
      } else {
        partners.set(other, event.call);
        partners.set(event.call, other);
        open.delete(state);
      }
    }
    return step(state, event).map((effect) =>
      effect.type === 'answer-caller'
        ? { ...effect, call: partners.get(effect.call) ?? effect.call }
        : effect,
    );
  };
};

/** Answers that belong to another request are accepted. */
const createUnverifiedAnswers = (): StepFunction => {
  const requestOf = new Map<string, string>();
  return (state, event) => {
    const unverified = mapResults(event, (result) => {
      const request = requestOf.get(result.attempt);
      return result.outcome.type === 'answered' && request !== undefined
        ? { ...result, outcome: { ...result.outcome, request: request as never } }
        : result;
    });
    const effects = step(state, unverified);
    for (const effect of effects) {
      if (effect.type === 'send-attempt') {
        requestOf.set(effect.leg.attempt, effect.context.request);
      }
    }
    return effects;
  };
};

/** Requests that may have run are reported as not run. */
const reportUnknownAsNotRun: MapEffect = (effect) => {
  if (effect.type !== 'answer-caller' || effect.outcome.type !== 'unknown') {
    return [effect];
  }
  const { request, cost } = effect.outcome;
  return [{ ...effect, outcome: { type: 'not-run', request, reason: 'legs-refused', cost } }];
};

/** Attempts of at-most-once requests are sent twice. */
const sendTwice: MapEffect = (effect) =>
  effect.type === 'send-attempt' && !effect.context.safeToRepeat ? [effect, effect] : [effect];

/** Every claim is treated as granted. */
const createGrantedClaims = (): StepFunction => (state, event) => {
  if (event.type !== 'link-message-arrived' || event.message.type !== 'claim-reply') {
    return step(state, event);
  }
  return step(state, { ...event, message: { ...event.message, verdict: 'granted' } });
};

const hideLeaving = (object: StoreObject): StoreObject => {
  if (object.content.type !== 'status') {
    return object;
  }
  const { status } = object.content;
  const replicas = status.replicas.map((replica) => ({ ...replica, lifecycle: 'ready' as const }));
  return { ...object, content: { type: 'status', status: { ...status, replicas } } };
};

const hideAnnouncement = (outcome: AttemptOutcome): AttemptOutcome => {
  if (outcome.type === 'answered') {
    return { ...outcome, leaving: false };
  }
  return outcome.type === 'not-run' && outcome.reason === 'leaving'
    ? { type: 'not-run', reason: 'connect-failed' }
    : outcome;
};

/** All announcements of leaving replicas are ignored. */
const createIgnoredLeaving = (): StepFunction => (state, event) => {
  const filtered = mapResults(event, ({ attempt, outcome, queuedMs, serviceMs }) => ({
    attempt,
    queuedMs,
    serviceMs,
    outcome: hideAnnouncement(outcome),
  }));
  if (filtered.type === 'store-changed') {
    return step(state, {
      ...filtered,
      objects: filtered.objects.map(hideLeaving),
    });
  }
  if (filtered.type === 'datagram-arrived' && filtered.message.leaving !== undefined) {
    return step(state, {
      ...filtered,
      message: { ...filtered.message, leaving: [] },
    });
  }
  return step(state, filtered);
};

/** A planned stop ends the process immediately. */
const createImmediateStop = (): StepFunction => (state, event) => {
  const effects = step(state, event);
  return event.type === 'stop-requested' ? [...effects, { type: 'end-process' }] : effects;
};

/** The first version held of an object replaces newer ones. */
const createRevertedObject = (): StepFunction => {
  const first = new WeakMap<CoreState, Map<string, StoreObject>>();
  return (state, event) => {
    const effects = step(state, event);
    const held = first.get(state) ?? new Map<string, StoreObject>();
    first.set(state, held);
    const { configuration } = state;
    for (const object of configuration.objects.values()) {
      const old = held.get(object.name) ?? object;
      held.set(object.name, old);
      if (event.type === 'timer-fired' && old !== object) {
        configuration.objects.set(object.name, old);
        configuration.inForce = deriveInForce(configuration.objects.values());
      }
    }
    return effects;
  };
};

/** Configuration updates are discarded after the start. */
const createIgnoredUpdates = (): StepFunction => (state, event) => {
  const isUpdate =
    event.type === 'store-changed' ||
    (event.type === 'link-message-arrived' && event.message.type.startsWith('configuration'));
  return isUpdate && state.phase !== 'starting' ? [] : step(state, event);
};

/** All mutations; at least one for each invariant. */
export const MUTATIONS: readonly Mutation[] = [
  { promise: 'one-snapshot', name: 'mixed snapshots', createStep: createMixedSnapshots },
  {
    promise: 'true-coverage',
    name: 'overstated coverage',
    createStep: withEffects(claimFullCoverage),
  },
  { promise: 'own-answer-only', name: 'swapped calls', createStep: createSwappedCalls },
  { promise: 'own-answer-only', name: 'unverified answers', createStep: createUnverifiedAnswers },
  {
    promise: 'not-run-did-not-run',
    name: 'denied runs',
    createStep: withEffects(reportUnknownAsNotRun),
  },
  { promise: 'at-most-once', name: 'sent twice', createStep: withEffects(sendTwice) },
  { promise: 'at-most-once', name: 'granted claims', createStep: createGrantedClaims },
  {
    promise: 'leaving-gets-no-new-work',
    name: 'ignored leaving',
    createStep: createIgnoredLeaving,
  },
  { promise: 'planned-stop-cuts-nothing', name: 'immediate stop', createStep: createImmediateStop },
  {
    promise: 'configuration-in-force-never-reverts',
    name: 'reverted object',
    createStep: createRevertedObject,
  },
  {
    promise: 'configuration-in-force-never-reverts',
    name: 'ignored updates',
    createStep: createIgnoredUpdates,
  },
];
