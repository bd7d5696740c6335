/** The columns of experiment figures, on the HTML page and on the terminal. */
import type { KindSummary } from '../experiment/summary.js';
import { formatShare } from './kind-table.js';

/** Decimal places of a percentage. */
const SHARE_DIGITS = 2;

/** A column: its title and the format of its value. */
export interface SummaryColumn {
  readonly title: string;
  readonly format: (summary: KindSummary) => string;
}

const formatMs = (ms: number): string => ms.toFixed(1);

/** Formats the partner, route and name of a kind. */
export const formatKindName = ({ partner, route, kind }: KindSummary): string =>
  `${partner} ${route}/${kind}`;

/** Columns of the number of calls and their latency up to p99. */
export const LATENCY_COLUMNS: readonly SummaryColumn[] = [
  { title: 'variant', format: ({ variant }) => variant },
  { title: 'calls', format: ({ calls }) => String(calls) },
  { title: 'p50 ms', format: ({ p50Ms }) => formatMs(p50Ms) },
  { title: 'p99 ms', format: ({ p99Ms }) => formatMs(p99Ms) },
];

/** Columns of the slowest calls, over all seeds. */
export const TAIL_COLUMNS: readonly SummaryColumn[] = [
  { title: 'p99.9 ms', format: ({ p999Ms }) => formatMs(p999Ms) },
  { title: 'worst ms', format: ({ worstMs }) => formatMs(worstMs) },
];

/** Column of the highest 99th percentile of any seed. */
export const WORST_P99_COLUMN: SummaryColumn = {
  title: 'worst p99',
  format: ({ worstP99Ms }) => formatMs(worstP99Ms),
};

/** Columns of the outcomes of calls and of their extra load. */
export const OUTCOME_COLUMNS: readonly SummaryColumn[] = [
  { title: 'coverage', format: ({ coverageMean }) => coverageMean.toFixed(4) },
  { title: 'whole', format: ({ wholeShare }) => formatShare(wholeShare, SHARE_DIGITS) },
  { title: 'extra load', format: ({ extraLoad }) => formatShare(extraLoad, SHARE_DIGITS) },
  { title: 'not run', format: ({ notRun }) => String(notRun) },
  { title: 'unknown', format: ({ unknown }) => String(unknown) },
  { title: 'failed', format: ({ failed }) => String(failed) },
];
