/** The reference page of metrics, from the registry of a node and the metrics of a gateway. */
import { createCoreState } from '../core/state.js';
import { identifier } from '../core/identifiers.js';
import { listMetrics } from '../gateway/metrics/gateway-metrics.js';
import type { Metric } from '../gateway/metrics/metric-series.js';
import { METRICS_PATH } from '../gateway/runtime/metrics-port.js';
import type { GatewaySettings } from '../gateway/settings.js';
import { createGatewayState } from '../gateway/state.js';
import { createNodeMetrics } from '../metrics/node-metrics.js';
import { formatHead, formatTable, type ReferencePage } from './reference-page.js';

const METRIC_PREFIX = 'crossroad_';

const PLACEHOLDER_ADDRESS = { host: '127.0.0.1', port: 0 };

const EXAMPLE_GATEWAY: GatewaySettings = {
  node: 'gateway',
  zone: 'zone',
  capacity: 1,
  firstStart: true,
  zoneRegions: {},
  callers: PLACEHOLDER_ADDRESS,
  readiness: PLACEHOLDER_ADDRESS,
  peers: PLACEHOLDER_ADDRESS,
  seeds: [],
  store: PLACEHOLDER_ADDRESS,
  bounds: {
    drainMs: 0,
    graceMs: 0,
    configurationMs: 0,
    retryRatio: 0,
    retryWindowMs: 1,
    retrySlack: 0,
  },
  logLevel: 'info',
};

/** Fields of a metric that the public type of the registry does not declare. */
interface MetricDescription {
  readonly name: string;
  readonly help: string;
  readonly type: unknown;
  readonly labelNames?: readonly string[];
}

const describeMetrics = (): readonly MetricDescription[] => {
  const state = createCoreState({
    self: {
      node: identifier('node'),
      zone: identifier('zone'),
      region: 'region',
      address: { host: '127.0.0.1', port: 0 },
      incarnation: 0,
    },
    seeds: [],
    seed: 0,
  });
  const { registry } = createNodeMetrics(
    () => state,
    () => 0,
  );
  return registry.getMetricsAsArray() as unknown as readonly MetricDescription[];
};

const formatMetric = ({ name, type, labelNames = [], help }: MetricDescription) => [
  `\`${name}\``,
  String(type),
  labelNames.map((label) => `\`${label}\``).join(' '),
  help,
];

const formatGatewayMetric = ({ type, description }: Metric) => [
  `\`${description.name}\``,
  type,
  description.labelNames.map((label) => `\`${label}\``).join(' '),
  description.help,
];

/** Lists the metrics of a gateway; the values of their gauges are not used. */
const gatewayMetrics = (): readonly Metric[] => {
  const state = createGatewayState(EXAMPLE_GATEWAY, 0);
  return listMetrics(
    state,
    () => 0,
    () => 0,
  );
};

/** Creates the page of metrics. */
export const createMetricsPage = (): ReferencePage => {
  const own = describeMetrics().filter(({ name }) => name.startsWith(METRIC_PREFIX));
  return {
    fileName: 'metrics.md',
    text: `${formatHead('Metrics', 'src/metrics')}
\`GET /metrics\` on the operator port, in the text format of Prometheus; no key is needed. The
client library adds metrics of the process, named \`process_…\` and \`nodejs_…\`: processor time,
memory, open files and the delay of the event loop.

${formatTable(['metric', 'type', 'labels', 'meaning'], own.map(formatMetric))}

## Gateways

\`GET ${METRICS_PATH}\` at the address \`metrics\` of a gateway's settings, in the same format. A metric has
at most 400 series; further label values are counted under \`other\`.

${formatTable(['metric', 'type', 'labels', 'meaning'], gatewayMetrics().map(formatGatewayMetric))}
`,
  };
};
