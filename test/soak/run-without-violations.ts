/** Plays a short run of the soak with a fixed seed; long runs and fresh seeds by hand: docs/operations/soak.md. */
import { rm } from 'node:fs/promises';
import { expect } from 'vitest';
import type { PromiseName } from '../../soak/checker/violation.js';
import { formatReport } from '../../soak/report.js';
import { runSoak, type SoakResult } from '../../soak/run-soak.js';

/** Faults that wait for one another, the build and the check come on top of the run. */
export const RUN_TIMEOUT_MS = 180_000;

/**
 * Plays a run in which every promise must hold.
 *
 * @param checkedPromises - promises of which the run must have had a case
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
  expect(unchecked, 'promises of which no case was judged').toEqual([]);
  await rm(result.folder, { recursive: true, force: true });
  return result;
};
