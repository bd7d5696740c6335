/** A simulated tier that serves bookings, and functions that count the runs of each key. */
import type { Effect } from '../../src/core/effect.js';
import type { Event } from '../../src/core/event.js';
import { identifier } from '../../src/core/identifiers.js';
import type { QueryRequest } from '../../src/core/query/query-request.js';
import { createRandom } from '../../src/core/random.js';
import { step } from '../../src/core/reducer.js';
import type { CoreState } from '../../src/core/state.js';
import { AT_MOST_ONCE, buildRow } from '../../src/deployments/row-defaults.js';
import { createIdempotencyKey } from '../../src/protocol/idempotency-key.js';
import { VIRTUAL_EPOCH_MS, type StepFunction } from '../../src/simulation/node-environment.js';
import { Simulation } from '../../src/simulation/simulation.js';
import type { SimulationOptions } from '../../src/simulation/simulation-options.js';
import { buildWorld, startNodes } from '../../src/simulation/world.js';
import {
  buildDeskDeployment,
  ENSEMBLE,
  NODES_PER_ZONE,
  ZONES,
} from '../support/desk-deployment.js';

export { NODES, ZONES } from '../support/desk-deployment.js';

/** Time until the nodes have joined and written the first rosters, in milliseconds. */
export const SETTLED_MS = 5_000;

const DEPLOYMENT = buildDeskDeployment({
  title: 'Bookings',
  slots: 5,
  rows: [
    buildRow(ENSEMBLE, {
      ...AT_MOST_ONCE,
      route: 'booking',
      kind: 'book',
      services: ['desk'],
      deadlineMs: 1_000,
    }),
  ],
});

/** Creates a booking with `idempotencyKey`. */
export const bookingOf = (idempotencyKey: string): QueryRequest => ({
  partner: ENSEMBLE,
  route: identifier('booking'),
  kind: identifier('book'),
  key: 'hall-7',
  idempotencyKey,
  payload: { nonce: idempotencyKey },
});

/** Creates a key dated now; the same `number` and time give the same key. */
export const createKeyNow = (simulation: Simulation, number: number): string =>
  createIdempotencyKey(VIRTUAL_EPOCH_MS + simulation.now, createRandom(number).next);

/** Creates a started tier of six nodes in three zones. */
export const createOnceWorld = (options: SimulationOptions): Simulation => {
  const simulation = new Simulation(options);
  buildWorld(simulation, { deployments: [DEPLOYMENT], nodesPerZone: NODES_PER_ZONE });
  startNodes(simulation);
  return simulation;
};

/** Counts how often replicas ran a request with `key`. */
export const countRuns = (simulation: Simulation, key: string): number =>
  simulation.listRuns().filter(({ idempotencyKey }) => idempotencyKey === key).length;

/** Returns the maximum number of runs of any key. */
export const maxRunsPerKey = (simulation: Simulation): number => {
  const keys = new Set(simulation.listRuns().map(({ idempotencyKey }) => idempotencyKey ?? ''));
  return Math.max(0, ...[...keys].map((key) => countRuns(simulation, key)));
};

/** Lists requests that were refused as not run although a replica ran them. */
export const listFalseRefusals = (simulation: Simulation): string[] => {
  const ran = new Set(simulation.listRuns().map(({ request }) => request));
  return simulation.calls
    .map(({ outcome }) => (outcome?.type === 'not-run' ? outcome.request : undefined))
    .filter((request) => request !== undefined && ran.has(request))
    .map(String);
};

/** Cuts a zone off from the others, or restores its connections. */
export const setZoneCut = (simulation: Simulation, zone: string, cut: boolean): void => {
  for (const other of ZONES.filter((each) => each !== zone)) {
    const { reachability } = simulation.network;
    if (cut) {
      reachability.cutZones(zone, other);
    } else {
      reachability.healZones(zone, other);
    }
  }
};

const ONCE_MESSAGES = new Set(['claim-request', 'claim-reply', 'claim-release']);

const isOnceMessage = (event: Event): boolean =>
  event.type === 'link-message-arrived' && ONCE_MESSAGES.has(event.message.type);

/** Creates a step that handles half of the messages about claims twice, and some again much later. */
export const createDuplicatingStep = (seed: number, inner: StepFunction = step): StepFunction => {
  const random = createRandom(seed);
  const received = new Map<CoreState, Event[]>();
  return (state: CoreState, event: Event): Effect[] => {
    const effects = inner(state, event);
    const queue = received.get(state) ?? [];
    received.set(state, queue);
    if (isOnceMessage(event)) {
      queue.push(event);
      if (random.next() < 0.5) {
        effects.push(...inner(state, event));
      }
    }
    if (queue.length > 0 && random.next() < 0.05) {
      const index = random.nextBelow(queue.length);
      effects.push(...inner(state, { ...(queue[index] as Event), at: event.at }));
    }
    return effects;
  };
};
