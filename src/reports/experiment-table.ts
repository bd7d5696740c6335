/** Formats results of experiments as tables for a terminal. */
import Table from 'cli-table3';
import type { KindComparison } from '../experiment/compare-results.js';
import type { ScenarioResult } from '../experiment/scenario-result.js';
import { type KindSummary, medianOf, summarizeKinds } from '../experiment/summary.js';
import {
  formatKindName,
  LATENCY_COLUMNS,
  OUTCOME_COLUMNS,
  type SummaryColumn,
  WORST_P99_COLUMN,
} from './summary-columns.js';

const PLAIN = {
  style: { head: [], border: [] },
  chars: { mid: '', 'left-mid': '', 'mid-mid': '', 'right-mid': '' },
};

const COLUMNS: readonly SummaryColumn[] = [
  { title: 'scenario', format: ({ scenario }) => scenario },
  { title: 'partner route/kind', format: formatKindName },
  ...LATENCY_COLUMNS,
  WORST_P99_COLUMN,
  ...OUTCOME_COLUMNS,
];

const summaryRow = (summary: KindSummary): string[] => COLUMNS.map(({ format }) => format(summary));

const describeTimes = (label: string, times: readonly number[], missing: number): string[] =>
  times.length + missing === 0
    ? []
    : [
        `${label}: median ${medianOf(times).toFixed(0)} ms, worst ${Math.max(0, ...times).toFixed(0)} ms` +
          (missing > 0 ? `, ${missing} of ${times.length + missing} never` : ''),
      ];

/**
 * Describes, for each variant over all seeds, how much of the replicas' work contributed to
 * answers.
 */
const describeWork = (scenario: string, results: readonly ScenarioResult[]): string[] =>
  [...new Set(results.map(({ variant }) => variant))].map((variant) => {
    const own = results.filter((result) => result.variant === variant);
    const ran = own.reduce((sum, { attemptsRan }) => sum + attemptsRan, 0);
    const contributed = own
      .flatMap(({ run }) => run.kinds)
      .reduce((sum, kind) => sum + kind.contributed, 0);
    return `${scenario} ${variant}: ${ran} attempts ran, ${contributed} shards contributed to answers after settling`;
  });

const describeScenario = (scenario: string, results: readonly ScenarioResult[]): string[] => {
  const own = results.filter((result) => result.scenario === scenario);
  const edits = own.flatMap((result) => result.edits);
  const inForce = edits.flatMap(({ inForceMs }) => inForceMs ?? []);
  const drains = own.flatMap((result) => result.drains.map(({ lastWorkMs }) => lastWorkMs));
  const violations = own.reduce((sum, { run }) => sum + run.violationCount, 0);
  return [
    ...describeTimes(`${scenario}: edits in force`, inForce, edits.length - inForce.length),
    ...describeTimes(`${scenario}: last request to a draining replica`, drains, 0),
    ...describeWork(scenario, own),
    `${scenario}: ${violations} violations`,
    ...own.flatMap(({ run, seed, variant }) =>
      run.violations
        .slice(0, 3)
        .map(
          ({ promise, subject, seen }) =>
            `  seed ${seed} ${variant}: ${promise} ${subject}: ${seen}`,
        ),
    ),
  ];
};

/**
 * Formats one row per kind and variant, with medians over seeds, and a summary of each scenario.
 */
export const formatResults = (results: readonly ScenarioResult[]): string => {
  const table = new Table({ head: COLUMNS.map(({ title }) => title), ...PLAIN });
  table.push(...summarizeKinds(results).map(summaryRow));
  const scenarios = [...new Set(results.map(({ scenario }) => scenario))];
  const sentences = scenarios.flatMap((scenario) => describeScenario(scenario, results));
  return [table.toString(), ...sentences].join('\n');
};

const COMPARISON_HEAD = [
  'scenario',
  'partner route/kind',
  'variant',
  'p50',
  'p99',
  'coverage',
  'extra load',
];

const CHANGE_DIGITS = 4;

const comparisonRow = (comparison: KindComparison): string[] => [
  comparison.after.scenario,
  formatKindName(comparison.after),
  comparison.after.variant,
  `x ${comparison.p50Ratio.toFixed(2)}`,
  `x ${comparison.p99Ratio.toFixed(2)}`,
  comparison.coverageChange.toFixed(CHANGE_DIGITS),
  comparison.extraLoadChange.toFixed(CHANGE_DIGITS),
];

/** Formats one row per kind and variant that both sets of results contain. */
export const formatComparison = (comparisons: readonly KindComparison[]): string => {
  const table = new Table({ head: COMPARISON_HEAD, ...PLAIN });
  table.push(...comparisons.map(comparisonRow));
  return table.toString();
};
