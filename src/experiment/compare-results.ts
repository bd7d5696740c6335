/** Compares two sets of results kind by kind, by their medians over seeds. */
import type { ScenarioResult } from './scenario-result.js';
import { type KindSummary, summarizeKinds } from './summary.js';

/** The comparison of one kind under one variant. */
export interface KindComparison {
  readonly before: KindSummary;
  readonly after: KindSummary;
  /** `after / before`; 1 if both are equal, also if both are 0. */
  readonly p50Ratio: number;
  readonly p99Ratio: number;
  /** `after - before`. */
  readonly coverageChange: number;
  readonly extraLoadChange: number;
}

const ratioOf = (after: number, before: number): number => (after === before ? 1 : after / before);

const nameOf = (summary: KindSummary): string =>
  [summary.scenario, summary.variant, summary.partner, summary.route, summary.kind].join('/');

/** Compares the kinds that are in both sets and leaves out the others. */
export const compareResults = (
  before: readonly ScenarioResult[],
  after: readonly ScenarioResult[],
): KindComparison[] => {
  const summariesBefore = new Map(
    summarizeKinds(before).map((summary) => [nameOf(summary), summary]),
  );
  return summarizeKinds(after).flatMap((summary) => {
    const old = summariesBefore.get(nameOf(summary));
    return old === undefined
      ? []
      : [
          {
            before: old,
            after: summary,
            p50Ratio: ratioOf(summary.p50Ms, old.p50Ms),
            p99Ratio: ratioOf(summary.p99Ms, old.p99Ms),
            coverageChange: summary.coverageMean - old.coverageMean,
            extraLoadChange: summary.extraLoad - old.extraLoad,
          },
        ];
  });
};
