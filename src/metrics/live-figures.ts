/**
 * Figures of one row over the last minute. The window has two halves: the current one records, the
 * previous one is only read. Latencies are recorded in a histogram of fixed size.
 */
import { build, type Histogram } from 'hdr-histogram-js';
import type { QueryOutcome } from '../core/query/query-request.js';

/** Length of half the window, in milliseconds. */
export const HALF_WINDOW_MS = 30_000;

const TICKS_PER_MS = 10;
const HIGHEST_LATENCY_MS = 120_000;
const SIGNIFICANT_DIGITS = 2;

/** Identifies a row. */
export interface RowName {
  readonly partner: string;
  readonly route: string;
  readonly kind: string;
}

/** Figures of a row at this node over the last 30 to 60 seconds. */
export interface RowFigures extends RowName {
  readonly queries: number;
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Latencies of answered queries, in milliseconds; absent if none was answered. */
  readonly p50Ms?: number;
  readonly p99Ms?: number;
  /** Mean and worst coverage of answered queries, 0 to 1; absent if none was answered. */
  readonly meanCoverage?: number;
  readonly worstCoverage?: number;
  /** Attempts sent per needed leg, minus one; 0 if no leg was needed. */
  readonly extraLoad: number;
}

/** Records and reads the figures of one row. */
export interface LiveFigures {
  record(outcome: QueryOutcome, elapsedMs: number): void;
  read(): RowFigures;
}

interface HalfWindow {
  /** Number of the half window, counted from the zero of the clock; -1 before the first use. */
  number: number;
  answered: number;
  notRun: number;
  unknown: number;
  needed: number;
  sent: number;
  coverageSum: number;
  worstCoverage: number;
  readonly latency: Histogram;
}

const createLatency = (): Histogram =>
  build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_LATENCY_MS * TICKS_PER_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    bitBucketSize: 32,
  });

const createHalf = (): HalfWindow => ({
  number: -1,
  answered: 0,
  notRun: 0,
  unknown: 0,
  needed: 0,
  sent: 0,
  coverageSum: 0,
  worstCoverage: 1,
  latency: createLatency(),
});

const clearHalf = (half: HalfWindow, number: number): void => {
  const { latency } = half;
  latency.reset();
  Object.assign(half, { ...createHalf(), latency, number });
};

const recordAnswered = (
  half: HalfWindow,
  outcome: Extract<QueryOutcome, { type: 'answered' }>,
  elapsedMs: number,
): void => {
  const coverage = outcome.shards === 0 ? 1 : outcome.contributed / outcome.shards;
  const latencyMs = Math.min(Math.max(elapsedMs, 0), HIGHEST_LATENCY_MS);
  half.latency.recordValue(Math.round(latencyMs * TICKS_PER_MS));
  half.answered += 1;
  half.coverageSum += coverage;
  half.worstCoverage = Math.min(half.worstCoverage, coverage);
};

const sumOver = (halves: readonly HalfWindow[], pick: (half: HalfWindow) => number): number =>
  halves.reduce((sum, half) => sum + pick(half), 0);

const readLatency = (halves: readonly HalfWindow[]): Histogram => {
  const merged = createLatency();
  halves.forEach((half) => {
    merged.add(half.latency);
  });
  return merged;
};

const summarize = (row: RowName, halves: readonly HalfWindow[]): RowFigures => {
  const answered = sumOver(halves, (half) => half.answered);
  const notRun = sumOver(halves, (half) => half.notRun);
  const unknown = sumOver(halves, (half) => half.unknown);
  const needed = sumOver(halves, (half) => half.needed);
  const sent = sumOver(halves, (half) => half.sent);
  const counts = {
    ...row,
    queries: answered + notRun + unknown,
    answered,
    notRun,
    unknown,
    extraLoad: needed === 0 ? 0 : Math.max(0, sent / needed - 1),
  };
  if (answered === 0) {
    return counts;
  }
  const latency = readLatency(halves);
  return {
    ...counts,
    p50Ms: latency.getValueAtPercentile(50) / TICKS_PER_MS,
    p99Ms: latency.getValueAtPercentile(99) / TICKS_PER_MS,
    meanCoverage: sumOver(halves, (half) => half.coverageSum) / answered,
    worstCoverage: Math.min(...halves.map((half) => half.worstCoverage)),
  };
};

/** Creates empty figures of `row`; `now` returns milliseconds. */
export const createLiveFigures = (row: RowName, now: () => number): LiveFigures => {
  const halves = [createHalf(), createHalf()] as const;
  const currentNumber = (): number => Math.floor(now() / HALF_WINDOW_MS);

  const currentHalf = (): HalfWindow => {
    const number = currentNumber();
    const half = number % 2 === 0 ? halves[0] : halves[1];
    if (half.number !== number) {
      clearHalf(half, number);
    }
    return half;
  };

  return {
    record(outcome, elapsedMs) {
      const half = currentHalf();
      half.needed += outcome.cost.needed;
      half.sent += outcome.cost.sent;
      if (outcome.type === 'answered') {
        recordAnswered(half, outcome, elapsedMs);
      } else if (outcome.type === 'not-run') {
        half.notRun += 1;
      } else {
        half.unknown += 1;
      }
    },
    read() {
      const oldest = currentNumber() - 1;
      return summarize(
        row,
        halves.filter((half) => half.number >= oldest && half.number >= 0),
      );
    },
  };
};
