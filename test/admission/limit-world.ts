/** A simulated tier with limited rows, and an observer that sums what its nodes may use and use. */
import { usableAmount } from '../../src/core/admission/limit-use.js';
import { type LimitUse, limitName } from '../../src/core/admission/state.js';
import type { LimitBound } from '../../src/protocol/grant-messages.js';
import type { SimulationObserver, StepRecord } from '../../src/simulation/observer.js';
import { Simulation } from '../../src/simulation/simulation.js';
import type { SimulationOptions } from '../../src/simulation/simulation-options.js';
import { buildWorld, startNodes } from '../../src/simulation/world.js';
import { identifier } from '../../src/core/identifiers.js';
import { buildRow } from '../../src/deployments/row-defaults.js';
import type { QueryRequest } from '../../src/core/query/query-request.js';
import { buildDeskDeployment, ENSEMBLE, NODES_PER_ZONE } from '../support/desk-deployment.js';

export { NODES } from '../support/desk-deployment.js';

export const CONCURRENT_LIMIT = 12;
export const PER_SECOND_LIMIT = 40;
export const ROW = 'ensemble/season-roster/page';
export const RATED_ROW = 'ensemble/season-roster/notice';

const DEPLOYMENT = buildDeskDeployment({
  title: 'Limited rows',
  slots: 50,
  rows: [
    buildRow(ENSEMBLE, {
      route: 'season-roster',
      kind: 'page',
      services: ['desk'],
      deadlineMs: 400,
      concurrentLimit: CONCURRENT_LIMIT,
    }),
    buildRow(ENSEMBLE, {
      route: 'season-roster',
      kind: 'notice',
      services: ['desk'],
      deadlineMs: 400,
      perSecondLimit: PER_SECOND_LIMIT,
    }),
  ],
});

export const PAGE: QueryRequest = {
  partner: ENSEMBLE,
  route: identifier('season-roster'),
  kind: identifier('page'),
  payload: null,
};

export const NOTICE: QueryRequest = { ...PAGE, kind: identifier('notice') };

/** The last step of one node, whose state shows its grants. */
interface NodeView {
  readonly step: StepRecord;
  /** The node's clock minus the simulation's clock, in milliseconds. */
  readonly clockOffset: number;
}

/** Records the maximum of what all live processes together may use and do use. */
export class LimitObserver implements SimulationObserver {
  simulation: Simulation | undefined;
  maxHeld = 0;
  maxUsed = 0;
  maxRate = 0;
  private readonly views = new Map<string, NodeView>();

  stepped(step: StepRecord): void {
    this.views.set(step.node, { step, clockOffset: step.event.at - step.at });
    this.maxHeld = Math.max(this.maxHeld, this.held(ROW, 'concurrent'));
    this.maxRate = Math.max(this.maxRate, this.held(RATED_ROW, 'per-second'));
    this.maxUsed = Math.max(this.maxUsed, this.used());
  }

  /** Sums the grants that live processes, including paused ones, may still use. */
  held(row: string, bound: LimitBound): number {
    return this.sum(row, bound, (use, at) => usableAmount(use, at));
  }

  /** Counts the queries in progress of the row with the concurrent limit, over all live processes. */
  used(): number {
    return this.sum(ROW, 'concurrent', (use) => use.used);
  }

  private sum(
    row: string,
    bound: LimitBound,
    measure: (use: LimitUse, at: number) => number,
  ): number {
    const now = this.simulation?.now ?? 0;
    let sum = 0;
    for (const [node, { step, clockOffset }] of this.views) {
      const live = this.simulation?.nodes.get(node)?.state === step.state;
      const use = step.state.admission.uses.get(limitName({ row, bound }));
      sum += live && use !== undefined ? measure(use, now + clockOffset) : 0;
    }
    return sum;
  }
}

/** Creates a started tier of six nodes in three zones with its observer. */
export const createLimitWorld = (
  options: SimulationOptions,
): { readonly simulation: Simulation; readonly observer: LimitObserver } => {
  const observer = new LimitObserver();
  const simulation = new Simulation({ ...options, observers: [observer] });
  observer.simulation = simulation;
  buildWorld(simulation, { deployments: [DEPLOYMENT], nodesPerZone: NODES_PER_ZONE });
  startNodes(simulation);
  return { simulation, observer };
};

/** Sends queries to `nodes` in turn, one every `everyMs` for `durationMs`, in milliseconds. */
export const sendLoad = (
  simulation: Simulation,
  nodes: readonly string[],
  query: QueryRequest,
  everyMs: number,
  durationMs: number,
): void => {
  for (let index = 0; index * everyMs < durationMs; index += 1) {
    simulation.after(index * everyMs, () => {
      simulation.call(nodes[index % nodes.length] as string, query);
    });
  }
};

/** Returns the share of calls sent since `after` that were answered. */
export const answeredShare = (simulation: Simulation, after: number): number => {
  const calls = simulation.calls.filter((call) => call.sentAt >= after);
  return calls.filter((call) => call.outcome?.type === 'answered').length / calls.length;
};
