/** Summarizes results over seeds: medians and worst values. */
import type { KindResult } from '../load/run-result.js';
import type { VariantName } from './scenario.js';
import type { ScenarioDriver, ScenarioResult } from './scenario-result.js';

/** Metrics of one kind of request under one variant, over all seeds. */
export interface KindSummary {
  readonly scenario: string;
  readonly variant: VariantName;
  readonly driver: ScenarioDriver;
  readonly partner: string;
  readonly route: string;
  readonly kind: string;
  readonly seeds: number;
  /** Total over all seeds. */
  readonly calls: number;
  /** Medians over seeds. */
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly coverageMean: number;
  readonly wholeShare: number;
  readonly extraLoad: number;
  /** Worst over seeds. */
  readonly worstP99Ms: number;
  readonly worstMs: number;
  readonly worstCoverage: number;
  readonly worstExtraLoad: number;
  /** Totals over all seeds. */
  readonly notRun: number;
  readonly unknown: number;
  readonly failed: number;
}

/** Returns the median: the lower middle value of an even number of values, 0 for none. */
export const medianOf = (values: readonly number[]): number => {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
};

interface KindGroup {
  readonly result: ScenarioResult;
  readonly kinds: KindResult[];
}

const groupKinds = (results: readonly ScenarioResult[]): KindGroup[] => {
  const groups = new Map<string, KindGroup>();
  for (const result of results) {
    for (const kind of result.run.kinds) {
      const { scenario, variant, driver } = result;
      const name = [scenario, kind.partner, kind.route, kind.kind, driver, variant].join('/');
      const group = groups.get(name) ?? { result, kinds: [] };
      group.kinds.push(kind);
      groups.set(name, group);
    }
  }
  return [...groups.values()];
};

const summarizeGroup = ({ result, kinds }: KindGroup): KindSummary => {
  const median = (pick: (kind: KindResult) => number): number => medianOf(kinds.map(pick));
  const maximum = (pick: (kind: KindResult) => number): number => Math.max(...kinds.map(pick));
  const sum = (pick: (kind: KindResult) => number): number =>
    kinds.reduce((total, kind) => total + pick(kind), 0);
  const [first] = kinds;
  return {
    scenario: result.scenario,
    variant: result.variant,
    driver: result.driver,
    partner: first?.partner ?? '',
    route: first?.route ?? '',
    kind: first?.kind ?? '',
    seeds: kinds.length,
    calls: sum(({ calls }) => calls),
    p50Ms: median(({ p50Ms }) => p50Ms),
    p99Ms: median(({ p99Ms }) => p99Ms),
    p999Ms: median(({ p999Ms }) => p999Ms),
    coverageMean: median(({ coverageMean }) => coverageMean),
    wholeShare: median(({ wholeShare }) => wholeShare),
    extraLoad: median(({ extraLoad }) => extraLoad),
    worstP99Ms: maximum(({ p99Ms }) => p99Ms),
    worstMs: maximum(({ maxMs }) => maxMs),
    worstCoverage: Math.min(...kinds.map(({ coverageWorst }) => coverageWorst)),
    worstExtraLoad: maximum(({ extraLoad }) => extraLoad),
    notRun: sum(({ notRun }) => notRun),
    unknown: sum(({ unknown }) => unknown),
    failed: sum(({ failed }) => failed),
  };
};

/** Summarizes each kind of each scenario and variant; the variants of a kind are adjacent. */
export const summarizeKinds = (results: readonly ScenarioResult[]): KindSummary[] => {
  const nameOf = ({ scenario, partner, route, kind }: KindSummary): string =>
    [scenario, partner, route, kind].join('/');
  const summaries = groupKinds(results).map(summarizeGroup);
  const order = new Map<string, number>();
  summaries.forEach((summary) => {
    const name = nameOf(summary);
    order.set(name, order.get(name) ?? order.size);
  });
  return summaries.sort(
    (left, right) => (order.get(nameOf(left)) ?? 0) - (order.get(nameOf(right)) ?? 0),
  );
};
