/** A run of the soak in which the store returns from copies, beside the other faults. */
import { expect, it } from 'vitest';
import { runWithoutViolations, RUN_TIMEOUT_MS } from './run-without-violations.js';

const SEED = 2_000;
const DURATION_MS = 50_000;

it(
  'keeps every promise where the store returns from copies',
  { timeout: RUN_TIMEOUT_MS },
  async () => {
    const { executed } = await runWithoutViolations(SEED, DURATION_MS, ['configuration']);
    const returns = executed.filter(({ fault }) => fault.type === 'store-returns');
    expect(returns.length).toBeGreaterThan(1);
  },
);
