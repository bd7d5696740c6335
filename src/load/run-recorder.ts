/** Records the calls of a run and aggregates them per partner, route and kind. */
import { build, type Histogram } from 'hdr-histogram-js';
import type { ExecutionRecord } from '../standins/replica-model/leg-exchange.js';
import { type AuditedCall, auditedCallOf, auditRecords } from './audit-records.js';
import type { EndedCall } from './call-outcome.js';
import { checkEndedCall } from './check-answer.js';
import type { KindResult, LatencyPoint, RunResult } from './run-result.js';
import type { Violation } from './violation.js';

/** Maximum number of violations recorded in detail; all of them are counted. */
export const MAX_RECORDED_VIOLATIONS = 50;

/** Latencies are recorded in microseconds, from 1 microsecond to 2 minutes. */
const MICROSECONDS = 1_000;
const HIGHEST_LATENCY_US = 120_000_000;
const SIGNIFICANT_DIGITS = 3;
/** Percentiles of the latency distribution in a result. */
const DISTRIBUTION_PERCENTILES = [
  1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 85, 90, 92.5, 95, 97, 98, 99, 99.5, 99.9, 100,
] as const;

interface KindRecord {
  readonly partner: string;
  readonly route: string;
  readonly kind: string;
  readonly latency: Histogram;
  calls: number;
  answered: number;
  whole: number;
  coverageSum: number;
  coverageWorst: number;
  contributed: number;
  needed: number;
  sent: number;
  hedges: number;
  retries: number;
  readonly missing: Map<string, number>;
  readonly notRun: Map<string, number>;
  readonly unknown: Map<string, number>;
  readonly failed: Map<string, number>;
}

const createKindRecord = (ended: EndedCall): KindRecord => {
  const { row } = ended.call.item;
  return {
    partner: row.partner,
    route: row.route,
    kind: row.kind,
    latency: build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: HIGHEST_LATENCY_US,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    }),
    calls: 0,
    answered: 0,
    whole: 0,
    coverageSum: 0,
    coverageWorst: 1,
    contributed: 0,
    needed: 0,
    sent: 0,
    hedges: 0,
    retries: 0,
    missing: new Map(),
    notRun: new Map(),
    unknown: new Map(),
    failed: new Map(),
  };
};

const countReason = (counts: Map<string, number>, reason: string): void => {
  counts.set(reason, (counts.get(reason) ?? 0) + 1);
};

const sumOf = (counts: ReadonlyMap<string, number>): number =>
  [...counts.values()].reduce((sum, count) => sum + count, 0);

const addAnswer = (record: KindRecord, ended: EndedCall): void => {
  if (ended.outcome.type !== 'answered') {
    return;
  }
  const { coverage, cost, missing } = ended.outcome;
  missing.forEach(({ reason }) => countReason(record.missing, reason));
  record.answered += 1;
  record.whole += coverage === 1 ? 1 : 0;
  record.coverageSum += coverage;
  record.coverageWorst = Math.min(record.coverageWorst, coverage);
  record.contributed += ended.outcome.contributed;
  record.needed += cost.needed;
  record.sent += cost.sent;
  record.hedges += cost.hedges;
  record.retries += cost.retries;
  const latency = Math.max(1, Math.round(ended.latencyMs * MICROSECONDS));
  record.latency.recordValue(Math.min(latency, HIGHEST_LATENCY_US));
};

const addCall = (record: KindRecord, ended: EndedCall): void => {
  record.calls += 1;
  switch (ended.outcome.type) {
    case 'answered':
      addAnswer(record, ended);
      return;
    case 'not-run':
      countReason(record.notRun, ended.outcome.reason);
      return;
    case 'unknown':
      countReason(record.unknown, ended.outcome.reason);
      return;
    case 'failed':
      countReason(record.failed, ended.outcome.problem);
  }
};

const percentileMs = (record: KindRecord, percentile: number): number =>
  record.answered === 0 ? 0 : record.latency.getValueAtPercentile(percentile) / MICROSECONDS;

const distributionOf = (record: KindRecord): LatencyPoint[] =>
  record.answered === 0
    ? []
    : DISTRIBUTION_PERCENTILES.map((percentile) => ({
        percentile,
        latencyMs: percentileMs(record, percentile),
      }));

const summarize = (record: KindRecord): KindResult => ({
  partner: record.partner,
  route: record.route,
  kind: record.kind,
  calls: record.calls,
  answered: record.answered,
  p50Ms: percentileMs(record, 50),
  p99Ms: percentileMs(record, 99),
  p999Ms: percentileMs(record, 99.9),
  maxMs: percentileMs(record, 100),
  coverageMean: record.answered === 0 ? 0 : record.coverageSum / record.answered,
  coverageWorst: record.answered === 0 ? 0 : record.coverageWorst,
  wholeShare: record.answered === 0 ? 0 : record.whole / record.answered,
  contributed: record.contributed,
  needed: record.needed,
  sent: record.sent,
  extraLoad: record.needed === 0 ? 0 : record.sent / record.needed - 1,
  hedges: record.hedges,
  retries: record.retries,
  notRun: sumOf(record.notRun),
  unknown: sumOf(record.unknown),
  failed: sumOf(record.failed),
  missing: Object.fromEntries(record.missing),
  reasons: Object.fromEntries([...record.notRun, ...record.unknown, ...record.failed]),
  distribution: distributionOf(record),
});

/** Checks and records ended calls. */
export class RunRecorder {
  private readonly records = new Map<string, KindRecord>();
  private readonly audited: AuditedCall[] = [];
  private readonly violations: Violation[] = [];
  private violationCount = 0;

  /**
   * @param settleMs calls due earlier than this many milliseconds after the start of the measured
   * part are checked and audited, but left out of the metrics
   */
  constructor(private readonly settleMs = 0) {}

  /** Records and checks one ended call. */
  record(ended: EndedCall): void {
    this.audited.push(auditedCallOf(ended));
    this.addViolations(checkEndedCall(ended));
    if (ended.call.sentAtMs < this.settleMs) {
      return;
    }
    const { row } = ended.call.item;
    const name = `${row.partner}/${row.route}/${row.kind}`;
    const record = this.records.get(name) ?? createKindRecord(ended);
    this.records.set(name, record);
    addCall(record, ended);
  }

  /** Number of calls recorded so far, including those before `settleMs`. */
  get calls(): number {
    return this.audited.length;
  }

  /** Number of violations found so far. */
  get violationsFound(): number {
    return this.violationCount;
  }

  /** Compares all calls recorded so far with the replicas' records. */
  audit(ran: readonly ExecutionRecord[]): void {
    this.addViolations(auditRecords(this.audited, ran));
  }

  /** Adds violations that another check found. */
  addViolations(found: readonly Violation[]): void {
    this.violationCount += found.length;
    this.violations.push(...found.slice(0, MAX_RECORDED_VIOLATIONS - this.violations.length));
  }

  /** Returns the metrics and violations of the calls recorded so far. */
  result(): RunResult {
    const kinds = [...this.records.values()].map(summarize);
    const byName = (left: KindResult, right: KindResult): number =>
      `${left.partner}/${left.route}/${left.kind}`.localeCompare(
        `${right.partner}/${right.route}/${right.kind}`,
      );
    return {
      kinds: kinds.sort(byName),
      violationCount: this.violationCount,
      violations: [...this.violations],
    };
  }
}
