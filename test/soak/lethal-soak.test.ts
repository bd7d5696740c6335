/** A run of the soak in which requests come that end the replicas that run them. */
import { rm } from 'node:fs/promises';
import { expect, it } from 'vitest';
import { formatReport } from '../../soak/report.js';
import { runSoak } from '../../soak/run-soak.js';

/** Its requests come often enough for calm times after they are known. */
const SEED = 1_000;
const DURATION_MS = 50_000;

/** Faults that wait for one another, the build and the check come on top of the run. */
const TIMEOUT_MS = 180_000;

it(
  'stops requests that end replicas, and keeps every promise',
  { timeout: TIMEOUT_MS },
  async () => {
    const options = { seed: SEED, gateways: 4, durationMs: DURATION_MS, callersPerGateway: 2 };
    const result = await runSoak(options);
    const report = await formatReport(result);
    expect(result.violations, report.join('\n')).toEqual([]);
    expect(result.judged.get('lethal-requests') ?? 0).toBeGreaterThan(0);
    await rm(result.folder, { recursive: true, force: true });
  },
);
