import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { RetryBudget } from '../../src/gateway/budget/retry-budget.js';

const WINDOW_MS = 10_000;
const POLICY = { ratio: 0.2, windowMs: WINDOW_MS, slack: 3 };

/** Time steps in milliseconds, each followed by a request or an attempt to consume an extra arrival. */
const steps = fc.array(fc.record({ afterMs: fc.nat(900), isRequest: fc.boolean() }), {
  minLength: 1,
  maxLength: 400,
});

/** Number of times within a window that ends at `end`; the sum is greatest when it ends with an extra arrival. */
const countWithin = (times: readonly number[], end: number, length: number): number =>
  times.filter((time) => time > end - length && time <= end).length;

describe('a retry budget', () => {
  it('is not exceeded in any sliding window that ends with an extra arrival', () => {
    const property = fc.property(steps, (actions) => {
      const budget = new RetryBudget(WINDOW_MS);
      const requests: number[] = [];
      const extras: number[] = [];
      let now = 0;
      for (const { afterMs, isRequest } of actions) {
        now += afterMs;
        if (isRequest) {
          budget.countRequest(now);
          requests.push(now);
        } else if (budget.consume(POLICY, now)) {
          extras.push(now);
          const allowed = POLICY.ratio * countWithin(requests, now, WINDOW_MS * 1.1) + POLICY.slack;
          expect(countWithin(extras, now, WINDOW_MS)).toBeLessThanOrEqual(allowed);
        }
      }
    });
    fc.assert(property, { seed: 20261202, numRuns: 300 });
  });

  it('is available again once the window has passed', () => {
    const budget = new RetryBudget(WINDOW_MS);
    expect([1, 2, 3, 4].map(() => budget.consume(POLICY, 100))).toEqual([true, true, true, false]);
    expect(budget.consume(POLICY, WINDOW_MS)).toBe(false);
    expect(budget.consume(POLICY, 2.1 * WINDOW_MS)).toBe(true);
  });
});
