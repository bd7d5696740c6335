/**
 * Records the outcomes of queries by route and kind: as Prometheus histograms and counters, and as live
 * figures of the last minute for the operators' page.
 *
 * The number of series is bounded, so that callers cannot make the node hold more: requests for unknown
 * routes and rows beyond the limit are recorded under `other`.
 */
import { Counter, Histogram, type Registry } from 'prom-client';
import type { QueryOutcome, QueryRequest } from '../core/query/query-request.js';
import { createLiveFigures, type LiveFigures, type RowFigures } from './live-figures.js';

/** Maximum number of rows with their own live figures. */
export const RECORDED_ROW_LIMIT = 500;

/** Maximum number of rows with their own Prometheus series; a scrape blocks the loop for each row. */
export const SERIES_ROW_LIMIT = 250;

/** Label of requests without their own series. */
export const OTHER_LABEL = 'other';

const LATENCY_BUCKETS_SECONDS = [
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.33, 0.5, 1, 2, 5, 10,
];
const COVERAGE_BUCKETS = [0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1];
const MS_PER_SECOND = 1_000;
const ROW_LABELS = ['partner', 'route', 'kind'] as const;

/** Records the final outcomes of queries. */
export interface AnswerRecorder {
  /** Records an outcome; `elapsedMs` is the time from the query's arrival to its answer. */
  recordAnswer(query: QueryRequest, outcome: QueryOutcome, elapsedMs: number): void;
  /** Returns the figures of the last minute for each row that had queries. */
  readFigures(): readonly RowFigures[];
}

type RowLabels = readonly [partner: string, route: string, kind: string];

interface RowSeries {
  readonly labels: RowLabels;
  readonly latency: { observe(value: number): void };
  readonly coverage: { observe(value: number): void };
  readonly needed: { inc(value: number): void };
  readonly sent: { inc(value: number): void };
  readonly figures: LiveFigures;
}

const createMetrics = (registry: Registry) => ({
  latency: new Histogram({
    name: 'crossroad_query_duration_seconds',
    help: 'Time from the arrival of a query to its answer, for answered queries.',
    labelNames: ROW_LABELS,
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [registry],
  }),
  coverage: new Histogram({
    name: 'crossroad_query_coverage_ratio',
    help: 'Shards that contributed over shards of the snapshot, for answered queries.',
    labelNames: ROW_LABELS,
    buckets: COVERAGE_BUCKETS,
    registers: [registry],
  }),
  outcomes: new Counter({
    name: 'crossroad_query_outcomes_total',
    help: 'Queries by how they ended; the reason is empty for answered ones.',
    labelNames: [...ROW_LABELS, 'outcome', 'reason'],
    registers: [registry],
  }),
  needed: new Counter({
    name: 'crossroad_query_legs_needed_total',
    help: 'Shards that finished queries had to reach.',
    labelNames: ROW_LABELS,
    registers: [registry],
  }),
  sent: new Counter({
    name: 'crossroad_query_attempts_sent_total',
    help: 'Attempts sent for finished queries; over legs needed, less one: the extra load.',
    labelNames: ROW_LABELS,
    registers: [registry],
  }),
});

const isUnknownRoute = (outcome: QueryOutcome): boolean =>
  outcome.type === 'not-run' && outcome.reason === 'unknown-route';

/** Creates a recorder that registers its metrics in `registry`; `now` returns milliseconds. */
export const createAnswerRecorder = (registry: Registry, now: () => number): AnswerRecorder => {
  const metrics = createMetrics(registry);
  const seriesByRow = new Map<string, RowSeries>();

  const createSeries = ([partner, route, kind]: RowLabels): RowSeries => {
    const hasOwnSeries = seriesByRow.size < SERIES_ROW_LIMIT;
    const labels: RowLabels = hasOwnSeries
      ? [partner, route, kind]
      : [partner, OTHER_LABEL, OTHER_LABEL];
    return {
      labels,
      latency: metrics.latency.labels(...labels),
      coverage: metrics.coverage.labels(...labels),
      needed: metrics.needed.labels(...labels),
      sent: metrics.sent.labels(...labels),
      figures: createLiveFigures({ partner, route, kind }, now),
    };
  };

  const labelsOf = (query: QueryRequest, outcome: QueryOutcome): RowLabels => {
    const known = seriesByRow.has(`${query.partner}/${query.route}/${query.kind}`);
    const hasOwnFigures = known || seriesByRow.size < RECORDED_ROW_LIMIT;
    return isUnknownRoute(outcome) || !hasOwnFigures
      ? [query.partner, OTHER_LABEL, OTHER_LABEL]
      : [query.partner, query.route, query.kind];
  };

  const seriesOf = (labels: RowLabels): RowSeries => {
    const key = labels.join('/');
    const known = seriesByRow.get(key);
    if (known !== undefined) {
      return known;
    }
    const created = createSeries(labels);
    seriesByRow.set(key, created);
    return created;
  };

  return {
    recordAnswer(query, outcome, elapsedMs) {
      const series = seriesOf(labelsOf(query, outcome));
      const reason = outcome.type === 'answered' ? '' : outcome.reason;
      metrics.outcomes.labels(...series.labels, outcome.type, reason).inc();
      series.needed.inc(outcome.cost.needed);
      series.sent.inc(outcome.cost.sent);
      if (outcome.type === 'answered') {
        series.latency.observe(elapsedMs / MS_PER_SECOND);
        series.coverage.observe(outcome.shards === 0 ? 1 : outcome.contributed / outcome.shards);
      }
      series.figures.record(outcome, elapsedMs);
    },
    readFigures: () =>
      [...seriesByRow.values()]
        .map((series) => series.figures.read())
        .filter((figures) => figures.queries > 0),
  };
};
