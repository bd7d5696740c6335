/** Plays a short run of the soak with a fixed seed; long runs and fresh seeds by hand: docs/operations/soak.md. */
import { rm } from 'node:fs/promises';
import { expect } from 'vitest';
import type { Promised } from '../../soak/checker/violation.js';
import { formatReport } from '../../soak/report.js';
import { runSoak, type SoakResult } from '../../soak/run-soak.js';

/** Faults that wait for one another, the build and the check come on top of the run. */
export const RUN_TIMEOUT_MS = 180_000;

/**
 * Plays a run in which every promise must hold.
 *
 * @param judged - promises of which the run must have had a case
 */
export const playHeldRun = async (
  seed: number,
  durationMs: number,
  judged: readonly Promised[],
): Promise<SoakResult> => {
  const result = await runSoak({ seed, gateways: 4, durationMs, callersPerGateway: 2 });
  const report = await formatReport(result);
  expect(result.violations, report.join('\n')).toEqual([]);
  const unjudged = judged.filter((promise) => (result.judged.get(promise) ?? 0) === 0);
  expect(unjudged, 'promises of which no case was judged').toEqual([]);
  await rm(result.folder, { recursive: true, force: true });
  return result;
};
