/** Executes a short run of the soak with a fixed seed; docs/operations/soak.md describes longer runs and other seeds. */
import { rm } from 'node:fs/promises';
import { expect } from 'vitest';
import type { PromiseName } from '../../soak/checker/violation.js';
import { formatReport } from '../../soak/report.js';
import { runSoak, type SoakResult } from '../../soak/run-soak.js';

/** Allows time for the build, the checks and queued faults in addition to the run itself. */
export const RUN_TIMEOUT_MS = 180_000;

/**
 * Executes a run and expects every promise to hold.
 *
 * @param checkedPromises - promises for which the run must have checked at least one case
 */
export const runWithoutViolations = async (
  seed: number,
  durationMs: number,
  checkedPromises: readonly PromiseName[],
): Promise<SoakResult> => {
  const result = await runSoak({ seed, gateways: 4, durationMs, callersPerGateway: 2 });
  const report = await formatReport(result);
  expect(result.violations, report.join('\n')).toEqual([]);
  const unchecked = checkedPromises.filter(
    (promise) => (result.caseCounts.get(promise) ?? 0) === 0,
  );
  expect(unchecked, 'promises without a checked case').toEqual([]);
  await rm(result.folder, { recursive: true, force: true });
  return result;
};
