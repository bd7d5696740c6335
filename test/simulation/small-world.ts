/** A small tier of two partners for tests. */
import { identifier, type PartnerId } from '../../src/core/identifiers.js';
import type { QueryRequest } from '../../src/core/query/query-request.js';
import { Simulation } from '../../src/simulation/simulation.js';
import type { SimulationOptions } from '../../src/simulation/simulation-options.js';
import { SMALL_DEPLOYMENTS } from '../../src/simulation/small-deployments.js';
import { buildWorld, startNodes, type World } from '../../src/simulation/world.js';

const ENSEMBLE = identifier<PartnerId>('ensemble');

export const SMALL_WORLD: World = { deployments: SMALL_DEPLOYMENTS, nodesPerZone: 1 };

export const PAGE: QueryRequest = {
  partner: ENSEMBLE,
  route: identifier('season-roster'),
  kind: identifier('page'),
  payload: { nonce: 'page' },
};

export const createSmallSimulation = (options: SimulationOptions): Simulation => {
  const simulation = new Simulation(options);
  buildWorld(simulation, SMALL_WORLD);
  startNodes(simulation);
  return simulation;
};
