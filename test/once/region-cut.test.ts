/** Two partners in two regions that are cut off from each other: each region serves its own partner. */
import { describe, expect, it } from 'vitest';
import { identifier } from '../../src/core/identifiers.js';
import type { QueryRequest } from '../../src/core/query/query-request.js';
import type { Deployment } from '../../src/deployments/deployment.js';
import { ENSEMBLE } from '../../src/deployments/ensemble.js';
import { TAWE } from '../../src/deployments/tawe.js';
import { Simulation } from '../../src/simulation/simulation.js';
import { buildWorld, startNodes } from '../../src/simulation/world.js';
import { createKeyNow, maxRunsPerKey, SETTLED_MS } from './once-world.js';

const KEYS = 10;
/** Duration of the cut in milliseconds, longer than any earlier lease and grant. */
const CUT_MS = 20_000;

const LIMITED_TAWE: Deployment = {
  ...TAWE,
  rows: TAWE.rows.map((row) =>
    row.route === identifier('assets') ? { ...row, concurrentLimit: 20 } : row,
  ),
};

const createCutWorld = (seed: number): Simulation => {
  const simulation = new Simulation({ seed });
  buildWorld(simulation, { deployments: [ENSEMBLE, LIMITED_TAWE], nodesPerZone: 2 });
  startNodes(simulation);
  simulation.runFor(SETTLED_MS);
  for (const far of ENSEMBLE.zones) {
    TAWE.zones.forEach((zone) => simulation.network.reachability.cutZones(far, zone));
  }
  simulation.runFor(CUT_MS);
  return simulation;
};

const call = (simulation: Simulation, node: string, query: QueryRequest): string => {
  const record = simulation.call(node, query);
  simulation.runFor(2_000);
  const { outcome } = record;
  return outcome?.type === 'answered' ? 'answered' : (outcome?.reason ?? 'none');
};

const changeOf = (simulation: Simulation, number: number): QueryRequest => {
  const idempotencyKey = createKeyNow(simulation, number);
  return {
    partner: TAWE.partner,
    route: identifier('ledger'),
    kind: identifier('change'),
    key: `ledger-${number}`,
    idempotencyKey,
    payload: {},
  };
};

const bookingOf = (simulation: Simulation, number: number): QueryRequest => ({
  ...changeOf(simulation, number),
  partner: ENSEMBLE.partner,
  route: identifier('booking'),
  kind: identifier('book'),
});

describe('two regions cut off from each other', () => {
  it('each run once the requests of their own partner that are not safe to repeat', () => {
    const simulation = createCutWorld(1);
    for (let number = 0; number < KEYS; number += 1) {
      const change = changeOf(simulation, number);
      expect(call(simulation, 'bole-1', change)).not.toBe('answered');
      expect(call(simulation, 'neath-hall-1', change)).toBe('answered');
      expect(call(simulation, 'swansea-hall-2', change)).toBe('already-claimed');
      expect(call(simulation, 'arada-1', bookingOf(simulation, number))).toBe('answered');
    }
    expect(simulation.listRuns().length).toBe(2 * KEYS);
    expect(maxRunsPerKey(simulation)).toBe(1);
  });

  it('each serve their own partner within its limits', () => {
    const simulation = createCutWorld(2);
    const query: QueryRequest = {
      partner: TAWE.partner,
      route: identifier('assets'),
      kind: identifier('total'),
      payload: {},
    };
    call(simulation, 'neath-hall-1', query);
    for (let round = 0; round < KEYS; round += 1) {
      expect(call(simulation, 'neath-hall-1', query)).toBe('answered');
    }
  });
});
