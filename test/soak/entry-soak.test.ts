/** A run of the soak in which replicas start again under their identifiers, and other writers spoil their entries. */
import { rm } from 'node:fs/promises';
import { expect, it } from 'vitest';
import { formatReport } from '../../soak/report.js';
import { runSoak } from '../../soak/run-soak.js';

/** Its store does not return from copies, so that entries are judged. */
const SEED = 3_001;
const DURATION_MS = 50_000;

/** Faults that wait for one another, the build and the check come on top of the run. */
const TIMEOUT_MS = 180_000;

it(
  'sends nothing by spoilt entries, and keeps every promise where replicas start again',
  { timeout: TIMEOUT_MS },
  async () => {
    const options = { seed: SEED, gateways: 4, durationMs: DURATION_MS, callersPerGateway: 2 };
    const result = await runSoak(options);
    const report = await formatReport(result);
    expect(result.violations, report.join('\n')).toEqual([]);
    expect(result.judged.get('spoilt-entries') ?? 0).toBeGreaterThan(0);
    await rm(result.folder, { recursive: true, force: true });
  },
);
