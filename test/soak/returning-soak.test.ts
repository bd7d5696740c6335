/** A run of the soak in which the store returns from copies, beside the other faults. */
import { rm } from 'node:fs/promises';
import { expect, it } from 'vitest';
import { formatReport } from '../../soak/report.js';
import { runSoak } from '../../soak/run-soak.js';

const SEED = 2_000;
const DURATION_MS = 50_000;

/** Faults that wait for one another, the build and the check come on top of the run. */
const TIMEOUT_MS = 180_000;

it('keeps every promise where the store returns from copies', { timeout: TIMEOUT_MS }, async () => {
  const options = { seed: SEED, gateways: 4, durationMs: DURATION_MS, callersPerGateway: 2 };
  const result = await runSoak(options);
  const report = await formatReport(result);
  expect(result.violations, report.join('\n')).toEqual([]);
  const returns = result.played.filter(({ fault }) => fault.type === 'store-returns');
  expect(returns.length).toBeGreaterThan(1);
  expect(result.judged.get('configuration') ?? 0).toBeGreaterThan(0);
  await rm(result.folder, { recursive: true, force: true });
});
