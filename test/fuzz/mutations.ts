/**
 * Ways to break the core, one for each promise, by wrapping its step. They live with the tests: the
 * core has no switch for them.
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

/** A broken core. */
export interface Mutation {
  readonly promise: PromiseName;
  readonly name: string;
  /** Creates the step; each run of a history has one of its own. */
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

/** Feeders ask for another snapshot than the one pinned, and nobody compares the answer's. */
const createMixedSnapshots = (): StepFunction => {
  const pinned = new Map<string, number>();
  return (state, event) => {
    const trusting = mapResults(event, (result) => {
      const snapshot = pinned.get(result.attempt);
      return result.outcome.type === 'answered' && snapshot !== undefined
        ? { ...result, outcome: { ...result.outcome, snapshot } }
        : result;
    });
    return step(state, trusting).map((effect) => {
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

/** Missing shards are left out of the answer and counted as if they had contributed. */
const claimFullCoverage: MapEffect = (effect) => {
  if (effect.type !== 'answer-caller' || effect.outcome.type !== 'answered') {
    return [effect];
  }
  const { outcome } = effect;
  return [{ ...effect, outcome: { ...outcome, contributed: outcome.shards, missing: [] } }];
};

/** Two calls in progress at one node get each other's answer. */
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

/** The answer of another request is taken for one's own. */
const createTrustedAnswers = (): StepFunction => {
  const requestOf = new Map<string, string>();
  return (state, event) => {
    const trusting = mapResults(event, (result) => {
      const request = requestOf.get(result.attempt);
      return result.outcome.type === 'answered' && request !== undefined
        ? { ...result, outcome: { ...result.outcome, request: request as never } }
        : result;
    });
    const effects = step(state, trusting);
    for (const effect of effects) {
      if (effect.type === 'send-attempt') {
        requestOf.set(effect.leg.attempt, effect.context.request);
      }
    }
    return effects;
  };
};

/** What may have run is reported as not run. */
const denyUnknown: MapEffect = (effect) => {
  if (effect.type !== 'answer-caller' || effect.outcome.type !== 'unknown') {
    return [effect];
  }
  const { request, cost } = effect.outcome;
  return [{ ...effect, outcome: { type: 'not-run', request, reason: 'legs-refused', cost } }];
};

/** An attempt that may run once is sent twice. */
const sendTwice: MapEffect = (effect) =>
  effect.type === 'send-attempt' && !effect.context.safeToRepeat ? [effect, effect] : [effect];

/** Every claim counts as granted. */
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

const hideWord = (outcome: AttemptOutcome): AttemptOutcome => {
  if (outcome.type === 'answered') {
    return { ...outcome, leaving: false };
  }
  return outcome.type === 'not-run' && outcome.reason === 'leaving'
    ? { type: 'not-run', reason: 'connect-failed' }
    : outcome;
};

/** No sign of a leaving replica is understood. */
const createBlindness = (): StepFunction => (state, event) => {
  const blind = mapResults(event, ({ attempt, outcome, queuedMs, serviceMs }) => ({
    attempt,
    queuedMs,
    serviceMs,
    outcome: hideWord(outcome),
  }));
  if (blind.type === 'store-changed') {
    return step(state, { ...blind, objects: blind.objects.map(hideLeaving) });
  }
  if (blind.type === 'datagram-arrived' && blind.message.leaving !== undefined) {
    return step(state, { ...blind, message: { ...blind.message, leaving: [] } });
  }
  return step(state, blind);
};

/** A planned stop ends the process at once. */
const createHastyStop = (): StepFunction => (state, event) => {
  const effects = step(state, event);
  return event.type === 'stop-requested' ? [...effects, { type: 'end-process' }] : effects;
};

/** An object once held comes back in place of a newer one. */
const createReverting = (): StepFunction => {
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

/** News of the configuration is thrown away after the start. */
const createDeafness = (): StepFunction => (state, event) => {
  const isNews =
    event.type === 'store-changed' ||
    (event.type === 'link-message-arrived' && event.message.type.startsWith('configuration'));
  return isNews && state.phase !== 'starting' ? [] : step(state, event);
};

/** All mutations; each promise has at least one. */
export const MUTATIONS: readonly Mutation[] = [
  { promise: 'one-snapshot', name: 'mixed snapshots', createStep: createMixedSnapshots },
  { promise: 'true-coverage', name: 'full coverage', createStep: withEffects(claimFullCoverage) },
  { promise: 'own-answer-only', name: 'swapped calls', createStep: createSwappedCalls },
  { promise: 'own-answer-only', name: 'trusted answers', createStep: createTrustedAnswers },
  { promise: 'not-run-did-not-run', name: 'denied runs', createStep: withEffects(denyUnknown) },
  { promise: 'at-most-once', name: 'sent twice', createStep: withEffects(sendTwice) },
  { promise: 'at-most-once', name: 'granted claims', createStep: createGrantedClaims },
  { promise: 'leaving-gets-no-new-work', name: 'blindness', createStep: createBlindness },
  { promise: 'planned-stop-cuts-nothing', name: 'hasty stop', createStep: createHastyStop },
  {
    promise: 'configuration-in-force-never-reverts',
    name: 'reverting object',
    createStep: createReverting,
  },
  {
    promise: 'configuration-in-force-never-reverts',
    name: 'deafness',
    createStep: createDeafness,
  },
];
