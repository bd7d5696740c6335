/**
 * The port on which metrics are served, in the text format of Prometheus. The library that formats them is loaded with
 * the first request: loading takes 104 ms of processor time and 11 MB (prom-client 15.1).
 */
import { createServer, type Server, type ServerResponse } from 'node:http';
import type { HostPort } from '../../settings/node-settings.js';
import type { Metric } from '../metrics/metric-series.js';
import { listenOn } from './sockets.js';

/** Path of the metrics. */
export const METRICS_PATH = '/metrics';

const OK_STATUS = 200;
const NOT_FOUND_STATUS = 404;

/** Formats metrics; resolves to the media type and the text. */
const formatMetrics = async (
  metrics: readonly Metric[],
): Promise<{ readonly contentType: string; readonly text: string }> => {
  const { Registry } = await import('prom-client');
  const registry = new Registry();
  for (const metric of metrics) {
    const { name, help } = metric.description;
    const snapshot = { name, help, type: metric.type, aggregator: 'sum', values: metric.values() };
    const registered = { name, get: () => Promise.resolve(snapshot) };
    registry.registerMetric(registered as unknown as Parameters<typeof registry.registerMetric>[0]);
  }
  return { contentType: registry.contentType, text: await registry.metrics() };
};

/** Serves the metrics returned by `list`. */
export class MetricsPort {
  private readonly server: Server;

  constructor(private readonly list: () => readonly Metric[]) {
    this.server = createServer((incoming, outgoing) => {
      if (incoming.url === METRICS_PATH) {
        void this.sendMetrics(outgoing);
      } else {
        outgoing.writeHead(NOT_FOUND_STATUS).end();
      }
    });
  }

  /** Listens on `address`; rejects if the address is not available. */
  listen(address: HostPort): Promise<void> {
    return listenOn(this.server, address);
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async sendMetrics(outgoing: ServerResponse): Promise<void> {
    const { contentType, text } = await formatMetrics(this.list());
    outgoing.writeHead(OK_STATUS, { 'content-type': contentType }).end(text);
  }
}
