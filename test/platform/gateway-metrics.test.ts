import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { CounterMetric, HistogramMetric } from '../../src/gateway/metrics/metric-series.js';
import { GatewayFixture, until } from './gateway-fixture.js';
import { routeSpec } from './operator-spec.js';

let fixture: GatewayFixture;

beforeEach(async () => {
  fixture = await GatewayFixture.create();
  const route = routeSpec({ name: 'desk-route', path_prefix: '/one/', service: 'desk' });
  fixture.configure([route], ['desk']);
  await fixture.addReplica('desk-1', 'desk');
  await fixture.serve();
});

afterEach(async () => {
  await fixture.stop();
});

describe('the metrics of a gateway', () => {
  it('count requests, attempts, latencies and calls to the store', async () => {
    await until(() => fixture.gateway.state.reading.isReading, 'the store is watched');
    await fixture.request({ id: 'r-1', path: '/one/a' });
    await fixture.request({ id: 'r-2', path: '/one/b' });
    await fixture.request({ id: 'r-3', path: '/none/' });
    const { text } = await fixture.readMetrics();
    const lines = text.split('\n');
    const prefix = 'crossroad_gateway_';
    expect(lines).toContain(`${prefix}requests_total{route="desk-route",outcome="passed-on"} 2`);
    expect(lines).toContain(`${prefix}requests_total{route="",outcome="no-route"} 1`);
    expect(lines).toContain(`${prefix}attempts_total{service="desk",reason="first"} 2`);
    expect(lines).toContain(`${prefix}request_duration_seconds_count{route="desk-route"} 2`);
    expect(lines).toContain(
      `${prefix}request_duration_seconds_bucket{le="+Inf",route="desk-route"} 2`,
    );
    expect(lines).toContain(`# TYPE ${prefix}request_duration_seconds histogram`);
    expect(lines).toContain(`${prefix}configuration_version 3`);
    expect(text).toMatch(/crossroad_gateway_store_calls_total\{call="watch"\} \d/);
  });

  it('are served at one path only, and repeatedly', async () => {
    expect((await fixture.readMetrics('/')).status).toBe(404);
    expect((await fixture.readMetrics()).status).toBe(200);
    expect((await fixture.readMetrics()).status).toBe(200);
  });
});

describe('a series of metrics', () => {
  it('counts further label values together once the maximum is reached', () => {
    const counter = new CounterMetric({ name: 'c', help: 'h', labelNames: ['route'] });
    for (let index = 0; index < 1_000; index += 1) {
      counter.add(`route-${index}`);
    }
    const values = counter.values();
    expect(values.length).toBeLessThanOrEqual(401);
    expect(values.find(({ labels }) => labels['route'] === 'other')?.value).toBe(600);
    expect(values.reduce((sum, { value }) => sum + value, 0)).toBe(1_000);
  });

  it('has cumulative buckets', () => {
    const histogram = new HistogramMetric({ name: 'd', help: 'h', labelNames: [] }, [0.1, 1]);
    [0.05, 0.1, 0.5, 7].forEach((seconds) => histogram.observe(seconds));
    const buckets = histogram.values().filter(({ metricName }) => metricName === 'd_bucket');
    expect(buckets.map(({ value }) => value)).toEqual([2, 3, 4]);
  });
});
