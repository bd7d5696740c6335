/** The result types of a load run. */
import type { Violation } from './violation.js';

/** One point of a latency distribution. */
export interface LatencyPoint {
  readonly percentile: number;
  readonly latencyMs: number;
}

/** Metrics of one kind of request; latencies and coverage cover answered calls only. */
export interface KindResult {
  readonly partner: string;
  readonly route: string;
  readonly kind: string;
  readonly calls: number;
  readonly answered: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly maxMs: number;
  readonly coverageMean: number;
  readonly coverageWorst: number;
  /** Share of answers with coverage 1. */
  readonly wholeShare: number;
  /** Number of shards that contributed to answers, summed over all answers. */
  readonly contributed: number;
  /** Legs that the answers needed. */
  readonly needed: number;
  /** Attempts sent for those legs, hedges and retries included. */
  readonly sent: number;
  /** `sent / needed - 1`. */
  readonly extraLoad: number;
  readonly hedges: number;
  readonly retries: number;
  /** Calls with outcome `not-run`. */
  readonly notRun: number;
  /** Calls with outcome `unknown`. */
  readonly unknown: number;
  /** Calls with outcome `failed`. */
  readonly failed: number;
  /** Number of missing shards, by reason. */
  readonly missing: Readonly<Record<string, number>>;
  /** Number of calls with outcome `not-run`, `unknown` or `failed`, by reason. */
  readonly reasons: Readonly<Record<string, number>>;
  readonly distribution: readonly LatencyPoint[];
}

/** Metrics and violations of a run. */
export interface RunResult {
  readonly kinds: readonly KindResult[];
  readonly violationCount: number;
  /** The first violations, at most `MAX_RECORDED_VIOLATIONS`. */
  readonly violations: readonly Violation[];
}
