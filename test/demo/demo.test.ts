import { describe, expect, it } from 'vitest';
import { runDemo } from '../../src/demo/run-demo.js';
import { findDeployments } from '../../src/deployments/deployments.js';
import { formatRun } from '../../src/reports/kind-table.js';

const run = (interrupted: AbortSignal, seconds: number) =>
  runDemo({
    deployments: findDeployments('both'),
    seconds,
    seed: 1,
    queriesPerSecond: 20,
    onProgress: () => undefined,
    interrupted,
  });

describe('demo', () => {
  it('answers callers of both partners without violating an invariant', async () => {
    const result = await run(new AbortController().signal, 3);
    expect(result.violations).toEqual([]);
    expect(new Set(result.kinds.map(({ partner }) => partner))).toEqual(
      new Set(['ensemble', 'tawe']),
    );
    expect(result.kinds.reduce((sum, { answered }) => sum + answered, 0)).toBeGreaterThan(0);
    const withFailures = result.kinds.filter(({ failed }) => failed > 0);
    expect(withFailures.map(({ kind, reasons }) => ({ kind, reasons }))).toEqual([]);
    expect(formatRun(result)).toContain('violations: 0');
  });

  it('ends early when it is interrupted', async () => {
    const result = await run(AbortSignal.timeout(200), 3_600);
    expect(result.violationCount).toBe(0);
  });

  it('ends early when it is interrupted before the load begins', async () => {
    const result = await run(AbortSignal.abort(), 3_600);
    expect(result.violationCount).toBe(0);
  });
});
