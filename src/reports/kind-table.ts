/** Formats the figures of a run as a table for a terminal, with one row per kind of request. */
import Table from 'cli-table3';
import type { KindResult, RunResult } from '../load/run-result.js';

const HEAD = [
  'partner',
  'route/kind',
  'calls',
  'p50 ms',
  'p99 ms',
  'coverage',
  'worst',
  'extra load',
  'not run',
  'unknown',
  'failed',
] as const;

const PERCENT = 100;

/** Formats a share as a percentage. */
export const formatShare = (share: number, digits = 1): string =>
  `${(share * PERCENT).toFixed(digits)}%`;

const rowOf = (kind: KindResult): string[] => [
  kind.partner,
  `${kind.route}/${kind.kind}`,
  String(kind.calls),
  kind.p50Ms.toFixed(1),
  kind.p99Ms.toFixed(1),
  kind.coverageMean.toFixed(4),
  kind.coverageWorst.toFixed(2),
  formatShare(kind.extraLoad),
  String(kind.notRun),
  String(kind.unknown),
  String(kind.failed),
];

const FIRST_RIGHT_ALIGNED_COLUMN = 2;

/** Formats the table with the violations below it. */
export const formatRun = (result: RunResult): string => {
  const table = new Table({
    head: [...HEAD],
    colAligns: HEAD.map((_, index) => (index < FIRST_RIGHT_ALIGNED_COLUMN ? 'left' : 'right')),
    style: { head: [], border: [] },
    chars: { mid: '', 'left-mid': '', 'mid-mid': '', 'right-mid': '' },
  });
  table.push(...result.kinds.map(rowOf));
  const violations = result.violations.map(
    ({ promise, subject, seen }) => `  ${promise} ${subject}: ${seen}`,
  );
  return [table.toString(), `violations: ${result.violationCount}`, ...violations].join('\n');
};
