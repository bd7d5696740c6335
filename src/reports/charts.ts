/** Charts of results: Vega-Lite specifications, rendered to SVG without a browser. */
import { parse, View } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import type { ScenarioResult } from '../experiment/scenario-result.js';
import { medianOf, summarizeKinds } from '../experiment/summary.js';

const CHART_WIDTH = 220;
const CHART_HEIGHT = 150;
const COLUMNS = 3;
const BAR_STEP = 10;
const FONT = 'system-ui, sans-serif';

/** Renders a specification to SVG. */
export const renderChart = (spec: TopLevelSpec): Promise<string> =>
  new View(parse(compile(spec).spec), { renderer: 'none' }).toSVG();

const CONFIG = { font: FONT, axis: { labelFontSize: 11, titleFontSize: 11 } } as const;

interface DistributionPoint {
  readonly variant: string;
  readonly kind: string;
  /**
   * 1 / (1 - percentile): 10 is p90, 100 is p99. Ranks above the number of answered calls are
   * omitted.
   */
  readonly rank: number;
  readonly latencyMs: number;
}

const PERCENT = 100;

const pointsOf = ({ variant, run }: ScenarioResult): DistributionPoint[] =>
  run.kinds.flatMap((kind) =>
    kind.distribution
      .map(({ percentile, latencyMs }) => ({
        variant,
        kind: `${kind.partner} ${kind.route}/${kind.kind}`,
        rank: PERCENT / (PERCENT - percentile),
        latencyMs,
      }))
      .filter(({ rank }) => rank <= kind.answered),
  );

const distributionPoints = (results: readonly ScenarioResult[]): DistributionPoint[] => {
  const groups = new Map<string, DistributionPoint[]>();
  for (const point of results.flatMap(pointsOf)) {
    const name = `${point.variant} ${point.kind} ${point.rank}`;
    groups.set(name, [...(groups.get(name) ?? []), point]);
  }
  return [...groups.values()].flatMap((points) =>
    points.slice(0, 1).map((first) => ({
      ...first,
      latencyMs: medianOf(points.map(({ latencyMs }) => latencyMs)),
    })),
  );
};

/** Latency by percentile, with one panel per kind and one line per variant. */
export const latencyChart = (results: readonly ScenarioResult[]): TopLevelSpec => ({
  $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
  title: 'Latency by percentile (medians over seeds)',
  config: CONFIG,
  data: { values: distributionPoints(results) },
  facet: { field: 'kind', type: 'nominal', title: null },
  columns: COLUMNS,
  resolve: { scale: { y: 'independent' } },
  spec: {
    width: CHART_WIDTH,
    height: CHART_HEIGHT,
    mark: { type: 'line', point: { size: 12 } },
    encoding: {
      x: {
        field: 'rank',
        type: 'quantitative',
        scale: { type: 'log' },
        title: 'percentile',
        axis: {
          values: [1, 2, 10, 100, 1_000],
          labelExpr:
            "datum.value == 1 ? 'p0' : datum.value == 2 ? 'p50' : datum.value == 10 ? 'p90' : datum.value == 100 ? 'p99' : 'p99.9'",
        },
      },
      y: { field: 'latencyMs', type: 'quantitative', title: 'ms', scale: { zero: true } },
      color: { field: 'variant', type: 'nominal' },
    },
  },
});

type BarChartField = 'coverageMean' | 'extraLoad';

const barChart = (
  results: readonly ScenarioResult[],
  field: BarChartField,
  title: string,
  scale: { readonly zero: boolean },
): TopLevelSpec => ({
  $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
  title,
  config: CONFIG,
  width: CHART_WIDTH * 2,
  height: { step: BAR_STEP, for: 'offset' },
  data: {
    values: summarizeKinds(results).map((summary) => ({
      kind: `${summary.partner} ${summary.route}/${summary.kind}`,
      variant: summary.variant,
      value: summary[field],
    })),
  },
  mark: scale.zero ? { type: 'bar' } : { type: 'point', filled: true, size: 60 },
  encoding: {
    y: { field: 'kind', type: 'nominal', title: null, axis: { labelLimit: 400 } },
    yOffset: { field: 'variant' },
    x: {
      field: 'value',
      type: 'quantitative',
      title: null,
      axis: { format: scale.zero ? '.1%' : '.2%' },
      scale,
    },
    color: { field: 'variant', type: 'nominal' },
  },
});

/** Mean coverage of each kind, with one mark per variant. */
export const coverageChart = (results: readonly ScenarioResult[]): TopLevelSpec =>
  barChart(results, 'coverageMean', 'Coverage (median over seeds)', { zero: false });

/** Extra load of each kind, with one bar per variant. */
export const extraLoadChart = (results: readonly ScenarioResult[]): TopLevelSpec =>
  barChart(results, 'extraLoad', 'Extra load (median over seeds)', { zero: true });

/** Time until each edit was in force on all nodes, with one tick per edit. */
export const inForceChart = (results: readonly ScenarioResult[]): TopLevelSpec => ({
  $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
  title: 'Time until an edit was in force on all nodes',
  config: CONFIG,
  width: CHART_WIDTH * 2,
  data: {
    values: results.flatMap(({ scenario, edits }) =>
      edits.flatMap(({ partner, inForceMs }) =>
        inForceMs === undefined ? [] : [{ scenario, partner, inForceMs }],
      ),
    ),
  },
  mark: { type: 'tick', thickness: 2 },
  encoding: {
    y: { field: 'scenario', type: 'nominal', title: null },
    x: { field: 'inForceMs', type: 'quantitative', title: 'ms', scale: { zero: true } },
    color: { field: 'partner', type: 'nominal' },
  },
});
