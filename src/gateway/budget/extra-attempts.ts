/**
 * Records what the retry budgets of a gateway are used for, and logs it at most once a second. The lines of all gateways
 * together give the number of extra arrivals at a service.
 */
import type { GatewayEffect } from '../effect.js';
import type { BudgetUse } from '../log/log-event.js';

/** Least time between two log lines, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

/** Most services in one line: those with most extra attempts and denials. */
const MAX_LOGGED_SERVICES = 12;

/** Why an attempt takes from the budget; `resend`: another feeder may have sent the leg before. */
export type ExtraReason = 'retry' | 'hedge' | 'resend';

/** Use of the budgets since the last log line, by service. */
export interface ExtraAttempts {
  loggedAt: number;
  readonly uses: Map<string, BudgetUse>;
}

/** Creates the record of a gateway that has used no budget. */
export const createExtraAttempts = (): ExtraAttempts => ({
  loggedAt: Number.NEGATIVE_INFINITY,
  uses: new Map(),
});

type Counts = Pick<BudgetUse, ExtraReason | 'denied'>;

const NO_COUNTS: Counts = { retry: 0, hedge: 0, resend: 0, denied: 0 };

/**
 * Records an extra attempt, or that one was denied.
 *
 * @param inputs - state of the budget after it
 */
export const recordExtraAttempt = (
  { uses }: ExtraAttempts,
  service: string,
  outcome: ExtraReason | 'denied',
  inputs: Omit<BudgetUse, keyof Counts>,
): void => {
  const before: Counts = uses.get(service) ?? NO_COUNTS;
  const { retry, hedge, resend, denied } = before;
  const counts = { retry, hedge, resend, denied, [outcome]: before[outcome] + 1 };
  uses.set(service, { ...counts, ...inputs });
};

const weightOf = ({ retry, hedge, resend, denied }: Counts): number =>
  retry + hedge + resend + denied;

/** Logs the use of the budgets since the last line, if there was any and the last line is old enough. */
export const logExtraAttempts = (
  extraAttempts: ExtraAttempts,
  gateways: number,
  at: number,
): GatewayEffect[] => {
  const { loggedAt, uses } = extraAttempts;
  if (uses.size === 0 || at - loggedAt < LOG_INTERVAL_MS) {
    return [];
  }
  const sorted = [...uses].sort(([, left], [, right]) => weightOf(right) - weightOf(left));
  const services = Object.fromEntries(sorted.slice(0, MAX_LOGGED_SERVICES));
  const unnamed = sorted
    .slice(MAX_LOGGED_SERVICES)
    .reduce((sum, [, use]) => sum + weightOf(use) - use.denied, 0);
  extraAttempts.loggedAt = at;
  uses.clear();
  const event = 'retry-budget-used';
  const change = { event, gateways, services, unnamed } as const;
  return [{ type: 'write-log', level: 'info', part: 'replica', change }];
};
