/**
 * Counters and histograms; an update costs a map look-up and an addition. The values are kept in the gateway's state,
 * so that the library that formats them is loaded only with the first request for metrics.
 */

/** Maximum number of series of one metric; further label values are counted under `other`. */
const MAX_SERIES = 400;

/** Label value of observations that have no series of their own. */
const OTHER = 'other';

/** Separates label values in the key of a series. */
const SEPARATOR = '\u0000';

/** One sample of a metric in the form that the formatting library expects. */
export interface MetricValue {
  readonly metricName: string;
  readonly labels: Readonly<Record<string, string | number>>;
  readonly value: number;
}

/** Name, help text and labels of a metric. */
export interface MetricDescription {
  readonly name: string;
  readonly help: string;
  readonly labelNames: readonly string[];
}

const labelsOf = (
  names: readonly string[],
  values: readonly string[],
): Readonly<Record<string, string>> =>
  Object.fromEntries(names.map((name, index) => [name, values[index] ?? OTHER]));

/** Series by label values; their number is limited. */
class SeriesMap<Series> {
  private readonly series = new Map<string, Series>();

  constructor(
    private readonly labels: number,
    private readonly create: () => Series,
  ) {}

  findOrCreate(values: readonly string[]): Series {
    const key = values.join(SEPARATOR);
    const known = this.series.get(key);
    if (known !== undefined) {
      return known;
    }
    const isFull = this.series.size >= MAX_SERIES;
    const bounded = isFull ? Array<string>(this.labels).fill(OTHER).join(SEPARATOR) : key;
    const series = this.series.get(bounded) ?? this.create();
    this.series.set(bounded, series);
    return series;
  }

  entries(): readonly (readonly [readonly string[], Series])[] {
    return [...this.series].map(([key, series]) => [key.split(SEPARATOR), series] as const);
  }
}

/** A counter with labels. */
export class CounterMetric {
  readonly type = 'counter';
  private readonly counts: SeriesMap<{ count: number }>;

  constructor(readonly description: MetricDescription) {
    this.counts = new SeriesMap(description.labelNames.length, () => ({ count: 0 }));
  }

  /** Adds one; `values` are in the order of the label names. */
  add(...values: readonly string[]): void {
    this.counts.findOrCreate(values).count += 1;
  }

  /** Adds `count`, if it is not 0; `values` are in the order of the label names. */
  addCount(count: number, ...values: readonly string[]): void {
    if (count !== 0) {
      this.counts.findOrCreate(values).count += count;
    }
  }

  values(): readonly MetricValue[] {
    const { name, labelNames } = this.description;
    return this.counts.entries().map(([values, { count }]) => ({
      metricName: name,
      labels: labelsOf(labelNames, values),
      value: count,
    }));
  }
}

interface Buckets {
  readonly counts: number[];
  count: number;
  sum: number;
}

/** A histogram with labels; bounds and observations are in seconds. */
export class HistogramMetric {
  readonly type = 'histogram';
  private readonly buckets: SeriesMap<Buckets>;

  constructor(
    readonly description: MetricDescription,
    private readonly bounds: readonly number[],
  ) {
    const create = (): Buckets => ({ counts: bounds.map(() => 0), count: 0, sum: 0 });
    this.buckets = new SeriesMap(description.labelNames.length, create);
  }

  /** Adds an observation; `values` are in the order of the label names. */
  observe(seconds: number, ...values: readonly string[]): void {
    const buckets = this.buckets.findOrCreate(values);
    buckets.count += 1;
    buckets.sum += seconds;
    const index = this.bounds.findIndex((bound) => seconds <= bound);
    if (index >= 0) {
      buckets.counts[index] = (buckets.counts[index] ?? 0) + 1;
    }
  }

  values(): readonly MetricValue[] {
    const { labelNames } = this.description;
    return this.buckets
      .entries()
      .flatMap(([values, buckets]) => this.valuesOf(labelsOf(labelNames, values), buckets));
  }

  /** Converts the counts to cumulative buckets. */
  private valuesOf(
    labels: Readonly<Record<string, string>>,
    { counts, count, sum }: Buckets,
  ): readonly MetricValue[] {
    const { name } = this.description;
    let cumulative = 0;
    const bounded = this.bounds.map((le, index) => {
      cumulative += counts[index] ?? 0;
      return { metricName: `${name}_bucket`, labels: { le, ...labels }, value: cumulative };
    });
    return [
      ...bounded,
      { metricName: `${name}_bucket`, labels: { le: '+Inf', ...labels }, value: count },
      { metricName: `${name}_sum`, labels, value: sum },
      { metricName: `${name}_count`, labels, value: count },
    ];
  }
}

/** A value that is read when metrics are requested. */
export class GaugeMetric {
  readonly type = 'gauge';

  constructor(
    readonly description: MetricDescription,
    private readonly read: () => number,
  ) {}

  values(): readonly MetricValue[] {
    return [{ metricName: this.description.name, labels: {}, value: this.read() }];
  }
}

/** Values with one label that are read when metrics are requested; the number of label values must be bounded. */
export class LabeledGaugeMetric {
  readonly type = 'gauge';

  constructor(
    readonly description: MetricDescription,
    private readonly read: () => ReadonlyMap<string, number>,
  ) {}

  values(): readonly MetricValue[] {
    const { name, labelNames } = this.description;
    return [...this.read()].map(([label, value]) => ({
      metricName: name,
      labels: labelsOf(labelNames, [label]),
      value,
    }));
  }
}

/** Any metric. */
export type Metric = CounterMetric | HistogramMetric | GaugeMetric | LabeledGaugeMetric;
