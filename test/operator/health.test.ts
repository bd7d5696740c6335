import { describe, expect, it } from 'vitest';
import { COUNTER_NAMES } from '../../src/core/counters.js';
import { identifier } from '../../src/core/identifiers.js';
import type { QueryOutcome, QueryRequest } from '../../src/core/query/query-request.js';
import {
  OTHER_LABEL,
  RECORDED_ROW_LIMIT,
  SERIES_ROW_LIMIT,
} from '../../src/metrics/answer-recorder.js';
import { HALF_WINDOW_MS } from '../../src/metrics/live-figures.js';
import { createOperatorApp } from '../../src/operator/create-operator-app.js';
import { createOperatorFixture } from './operator-fixture.js';

const query = (route: string): QueryRequest => ({
  partner: identifier('ensemble'),
  route: identifier(route),
  kind: identifier('page'),
  payload: null,
});

const answered = (contributed: number): QueryOutcome => ({
  type: 'answered',
  request: identifier('r1'),
  snapshot: 1,
  items: [],
  shards: 4,
  contributed,
  missing: [],
  cost: { needed: 4, sent: 5, hedges: 1, retries: 0 },
});

const refused = (reason: 'over-limit' | 'unknown-route'): QueryOutcome => ({
  type: 'not-run',
  request: identifier('r2'),
  reason,
  cost: { needed: 0, sent: 0, hedges: 0, retries: 0 },
});

const scrape = async (fixture: ReturnType<typeof createOperatorFixture>): Promise<string> => {
  const response = await createOperatorApp(fixture.context).request('/metrics');
  return response.text();
};

describe('health checks', () => {
  it('report ready only in the phase serving', async () => {
    const fixture = createOperatorFixture();
    const app = createOperatorApp(fixture.context);
    const readiness = async (): Promise<number> => (await app.request('/health/ready')).status;
    expect(await readiness()).toBe(503);
    fixture.state.phase = 'serving';
    expect(await readiness()).toBe(200);
    fixture.state.phase = 'stopping';
    expect(await readiness()).toBe(503);
    expect((await app.request('/health/live')).status).toBe(200);
  });
});

describe('metrics', () => {
  it('contain the current value of each counter of the core', async () => {
    const fixture = createOperatorFixture();
    COUNTER_NAMES.forEach((name, index) => {
      fixture.state.counters[name] = index + 1;
    });
    await scrape(fixture);
    const lines = (await scrape(fixture)).split('\n');
    COUNTER_NAMES.forEach((name, index) => {
      expect(lines).toContain(`crossroad_${name}_total ${String(index + 1)}`);
    });
    expect(lines).toContain('crossroad_phase{phase="starting"} 1');
    expect(lines).toContain('crossroad_members{state="alive"} 1');
  });

  it('record answers with the labels of their row', async () => {
    const fixture = createOperatorFixture();
    const { answers } = fixture.context.metrics;
    answers.recordAnswer(query('season-roster'), answered(4), 12);
    answers.recordAnswer(query('no-such-route'), refused('unknown-route'), 1);
    const text = await scrape(fixture);
    const row = 'partner="ensemble",route="season-roster",kind="page"';
    expect(text).toContain(`crossroad_query_duration_seconds_count{${row}} 1`);
    expect(text).toContain(`crossroad_query_attempts_sent_total{${row}} 5`);
    expect(text).toContain(`route="${OTHER_LABEL}"`);
    expect(text).not.toContain('no-such-route');
  });

  it('limit the rows with figures and the rows with a separate series', async () => {
    const fixture = createOperatorFixture();
    const { answers } = fixture.context.metrics;
    for (let row = 0; row < RECORDED_ROW_LIMIT + 50; row += 1) {
      answers.recordAnswer(query(`route-${String(row)}`), answered(4), 1);
    }
    const figures = answers.readFigures();
    expect(figures).toHaveLength(RECORDED_ROW_LIMIT + 1);
    expect(figures.find((row) => row.route === OTHER_LABEL)?.queries).toBe(50);
    const counts = (await scrape(fixture)).match(/^crossroad_query_duration_seconds_count.*$/gm);
    const others = RECORDED_ROW_LIMIT + 50 - SERIES_ROW_LIMIT;
    expect(counts).toHaveLength(SERIES_ROW_LIMIT + 1);
    expect(counts?.filter((line) => line.includes(`"${OTHER_LABEL}"`))).toEqual([
      expect.stringMatching(new RegExp(` ${String(others)}$`)),
    ]);
  });

  it('contain figures of the last minute, without older ones', () => {
    const fixture = createOperatorFixture();
    const { answers } = fixture.context.metrics;
    answers.recordAnswer(query('season-roster'), answered(4), 10);
    answers.recordAnswer(query('season-roster'), answered(2), 30);
    answers.recordAnswer(query('season-roster'), refused('over-limit'), 0);
    const [figures] = answers.readFigures();
    expect(figures).toMatchObject({ queries: 3, answered: 2, notRun: 1, unknown: 0 });
    expect(figures?.p50Ms).toBeCloseTo(10, 0);
    expect(figures?.p99Ms).toBeCloseTo(30, 0);
    expect(figures?.meanCoverage).toBe(0.75);
    expect(figures?.worstCoverage).toBe(0.5);
    expect(figures?.extraLoad).toBe(0.25);
    fixture.now += 2 * HALF_WINDOW_MS;
    expect(answers.readFigures()).toEqual([]);
  });
});
