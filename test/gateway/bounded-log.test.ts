import { beforeEach, describe, expect, it } from 'vitest';
import type { Decision } from '../../src/gateway/log/log-event.js';
import { BoundedLog } from '../../src/gateway/runtime/bounded-log.js';

const DECISION: Decision = { event: 'leg-failed', service: 's0', runs: 1 };

let now: number;
let lines: Record<string, unknown>[];
let accepting: boolean;
let log: BoundedLog;

beforeEach(() => {
  now = 0;
  lines = [];
  accepting = true;
  log = new BoundedLog({
    node: 'front-1',
    level: 'info',
    sink: {
      write(text) {
        if (accepting) {
          lines.push(JSON.parse(text) as Record<string, unknown>);
        }
        return accepting;
      },
      end: () => Promise.resolve(),
    },
    monotonicNow: () => now,
    wallNow: () => 5_000 + now,
  });
});

const writeTraces = (count: number, reason: 'failed' | 'sampled'): void => {
  for (let index = 0; index < count; index += 1) {
    const decisions = [{ at: now - 20, decision: DECISION }];
    log.writeTrace({ type: 'write-trace', requestId: `r-${index}`, reason, decisions });
  }
};

describe('the log of a gateway', () => {
  it('contains the request, the node and the age of each decision', () => {
    now = 100;
    writeTraces(1, 'failed');
    expect(lines).toEqual([
      {
        time: 5_100,
        node: 'front-1',
        level: 'info',
        part: 'request',
        requestId: 'r-0',
        agoMs: 20,
        ...DECISION,
      },
    ]);
  });

  it('contains the level of a change in its own field', () => {
    const change = {
      event: 'request-blocked',
      fingerprint: 'print',
      times: 2,
      forMs: 60_000,
      from: 'front-2',
    } as const;
    log.write({ level: 'warn', part: 'request', change });
    expect(lines).toMatchObject([{ node: 'front-1', level: 'warn', part: 'request', times: 2 }]);
  });

  it('has a limited long-term rate and counts the dropped lines', () => {
    for (let second = 0; second < 20; second += 1) {
      now = second * 1_000;
      writeTraces(1_000, 'failed');
    }
    expect(lines.length).toBeLessThanOrEqual(600 + 20 * 101);
    const dropped = lines.filter(({ event }) => event === 'lines-dropped');
    const counted = dropped.reduce((sum, line) => sum + Number(line['lines']), 0);
    const written = lines.length - dropped.length;
    expect(written + counted).toBeGreaterThan(20_000 - 1_000);
    expect(written + counted).toBeLessThanOrEqual(20_000);
  });

  it('reserves lines for failed requests', () => {
    writeTraces(1_000, 'sampled');
    expect(lines).toHaveLength(300);
    writeTraces(100, 'failed');
    expect(lines.filter(({ event }) => event === 'leg-failed')).toHaveLength(400);
  });

  it('continues while its sink refuses lines, and reports them later', () => {
    accepting = false;
    writeTraces(5, 'failed');
    accepting = true;
    now = 2_000;
    writeTraces(1, 'failed');
    expect(lines[0]).toMatchObject({ event: 'lines-dropped', lines: 5 });
  });
});
