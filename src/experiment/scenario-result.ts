/** The result of one run of a scenario, on real sockets or in simulation. */
import type { RunResult } from '../load/run-result.js';
import type { VariantName } from './scenario.js';

/** Whether a scenario ran on real sockets or in simulation. */
export type ScenarioDriver = 'real' | 'simulation';

/** How long an edit took until it was in force at every live node. */
export interface EditInForce {
  readonly partner: string;
  /** Time from the operator's request until the last node has it, in milliseconds; absent on timeout. */
  readonly inForceMs?: number;
}

/** How long a draining replica still received new work, according to its own record. */
export interface DrainLag {
  readonly replica: string;
  /** Time from the drain to the last request that arrived, in milliseconds; 0 if none arrived. */
  readonly lastWorkMs: number;
}

/** The result of one run. */
export interface ScenarioResult {
  readonly scenario: string;
  readonly variant: VariantName;
  readonly seed: number;
  readonly driver: ScenarioDriver;
  readonly run: RunResult;
  readonly edits: readonly EditInForce[];
  readonly drains: readonly DrainLag[];
  /** Attempts that the replicas ran during the measured part. */
  readonly attemptsRan: number;
  /** Wall-clock duration of the run, in milliseconds. */
  readonly tookMs: number;
}
