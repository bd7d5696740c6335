/** Simulates a long store outage and recovery for a tier of production size, in virtual time. */
import { identifier } from '../../src/core/identifiers.js';
import type { QueryRequest } from '../../src/core/query/query-request.js';
import { createRandom } from '../../src/core/random.js';
import { ENSEMBLE } from '../../src/deployments/ensemble.js';
import { TAWE } from '../../src/deployments/tawe.js';
import type { EditCallRecord } from '../../src/simulation/call-record.js';
import { InvariantChecker } from '../../src/simulation/invariants/invariant-checker.js';
import { buildNetwork } from '../../src/simulation/scenario/scenario-network.js';
import { isInForce } from '../../src/simulation/scenario/scenario-edits.js';
import { Simulation } from '../../src/simulation/simulation.js';
import { buildWorld, startNodes } from '../../src/simulation/world.js';
import type { RouteRow } from '../../src/table/route-row.js';

const NODES_PER_ZONE = 2;
const START_MS = 6_000;
const QUERY_INTERVAL_MS = 1_000;
const EDIT_INTERVAL_MS = 400;
const EDITS = 6;
const AFTER_MS = 20_000;

/** Kind of outage: the store refuses connections, or is unreachable. */
export type OutageKind = 'refuses' | 'unreachable';

/** What was measured during an outage and after it. */
export interface OutageResult {
  readonly queries: number;
  readonly queriesLost: number;
  readonly membersLost: number;
  /** Maximum number of requests of one zone in the second after the outage, not counting edits. */
  readonly requestsOfZone: number;
  /** For each edit, time from its acceptance until all nodes hold it, in milliseconds. */
  readonly inForceMs: readonly number[];
  readonly violations: readonly string[];
}

const STORE_REQUESTS = new Set(['watch-store', 'read-machines', 'read-object', 'write-object']);

const QUERIES: readonly Omit<QueryRequest, 'payload'>[] = [
  {
    partner: identifier('ensemble'),
    route: identifier('season-roster'),
    kind: identifier('page'),
  },
  { partner: identifier('tawe'), route: identifier('quote'), kind: identifier('builder') },
];

const createTier = (seed: number): { simulation: Simulation; checker: InvariantChecker } => {
  const deployments = [ENSEMBLE, TAWE];
  const simulation = new Simulation({ seed, network: buildNetwork(deployments) });
  const checker = new InvariantChecker(simulation);
  buildWorld(simulation, { deployments, nodesPerZone: NODES_PER_ZONE });
  startNodes(simulation);
  simulation.runFor(START_MS);
  return { simulation, checker };
};

const listZones = (simulation: Simulation): string[] => [
  ...new Set([...simulation.nodes.values()].map(({ placement }) => String(placement.zone))),
];

const setStoreOutage = (simulation: Simulation, kind: OutageKind, isDown: boolean): void => {
  if (kind === 'refuses') {
    simulation.store.setFaults({ down: isDown });
  } else if (isDown) {
    listZones(simulation).forEach((zone) => {
      simulation.network.reachability.cutZones(zone, 'platform');
    });
  } else {
    simulation.network.reachability.healAll();
  }
};

const sendQueries = (simulation: Simulation, untilMs: number): void => {
  const nodes = [...simulation.nodes.keys()];
  for (let at = 0, index = 0; at < untilMs; at += QUERY_INTERVAL_MS, index += 1) {
    const node = nodes[index % nodes.length] ?? '';
    const query = QUERIES[index % QUERIES.length] as (typeof QUERIES)[number];
    simulation.after(at, () => {
      simulation.call(node, { ...query, payload: { nonce: String(index) } });
    });
  }
};

const sendEdit = (simulation: Simulation, node: string, index: number): EditCallRecord => {
  const object = simulation.store.model.read('sheet/ensemble');
  const rows = object?.content.type === 'sheet' ? object.content.sheet.rows : [];
  const current = rows[index % rows.length];
  const row: RouteRow = { ...(current?.row as RouteRow), weight: 2 + index };
  return simulation.edit(node, {
    edit: identifier(`edit-${index}`),
    partner: identifier('ensemble'),
    operator: 'mair',
    reason: 'the store is back',
    seenVersion: object?.version ?? 0,
    writtenAt: index,
    action: {
      type: 'change-rows',
      changes: [{ type: 'set', row, basedOn: current?.rowVersion ?? 0 }],
    },
  });
};

/** Sends edits after the outage and measures how long each takes from acceptance to all nodes. */
const measureEdits = (simulation: Simulation, seed: number): number[] => {
  const durations: number[] = [];
  const random = createRandom(seed);
  const nodes = [...simulation.nodes.keys()];
  const check = (record: EditCallRecord): void => {
    const { outcome, endedAt } = record;
    if (outcome?.type === 'accepted' && isInForce(simulation, outcome.revision)) {
      durations.push(simulation.now - (endedAt ?? 0));
    } else {
      simulation.after(10, () => {
        check(record);
      });
    }
  };
  for (let index = 0; index < EDITS; index += 1) {
    const node = nodes[random.nextBelow(nodes.length)] ?? '';
    simulation.after(1 + index * EDIT_INTERVAL_MS, () => {
      check(sendEdit(simulation, node, index));
    });
  }
  return durations;
};

/** Runs an outage of `outageMs` and measures its consequences. */
export const simulateStoreOutage = (
  seed: number,
  kind: OutageKind,
  outageMs: number,
): OutageResult => {
  const { simulation, checker } = createTier(seed);
  const zones: { readonly at: number; readonly zone: string }[] = [];
  let membersLost = 0;
  simulation.observe({
    stepped: ({ at, node, effects, state }) => {
      for (const effect of effects) {
        const isEdit = 'request' in effect && String(effect.request).startsWith('edit-');
        if (STORE_REQUESTS.has(effect.type) && !isEdit) {
          zones.push({ at, zone: String(node).replace(/-\d+$/, '') });
        }
      }
      for (const member of state.membership.members.values()) {
        membersLost += member.state === 'dead' ? 1 : 0;
      }
    },
  });
  sendQueries(simulation, outageMs + AFTER_MS);
  setStoreOutage(simulation, kind, true);
  simulation.runFor(outageMs);
  const returnedAt = simulation.now;
  setStoreOutage(simulation, kind, false);
  const inForceMs = measureEdits(simulation, seed);
  simulation.runFor(AFTER_MS + 10_000);
  const counts = new Map<string, number>();
  for (const { zone, at } of zones) {
    if (at >= returnedAt && at < returnedAt + 1_000) {
      counts.set(zone, (counts.get(zone) ?? 0) + 1);
    }
  }
  return {
    queries: simulation.calls.length,
    queriesLost: simulation.calls.filter(({ outcome }) => outcome?.type !== 'answered').length,
    membersLost,
    requestsOfZone: Math.max(0, ...counts.values()),
    inForceMs,
    violations: checker.violations.map(({ detail }) => detail),
  };
};
