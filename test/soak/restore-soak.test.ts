/** A run of the soak in which the store is restored from backups, in addition to the other faults. */
import { expect, it } from 'vitest';
import { runWithoutViolations, RUN_TIMEOUT_MS } from './run-without-violations.js';

const SEED = 2_000;
const DURATION_MS = 50_000;

it(
  'keeps every promise when the store is restored from backups',
  { timeout: RUN_TIMEOUT_MS },
  async () => {
    const { executed } = await runWithoutViolations(SEED, DURATION_MS, ['configuration']);
    const restores = executed.filter(({ fault }) => fault.type === 'store-returns');
    expect(restores.length).toBeGreaterThan(1);
  },
);
