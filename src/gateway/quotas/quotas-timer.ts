/** The timer of the tenants' limits; it is set only while there are leases, buckets or unanswered requests. */
import type { GatewayEffect } from '../effect.js';
import type { GatewayState } from '../state.js';

/** Interval at which leases are renewed or returned and unused state is forgotten, in milliseconds. */
export const SWEEP_MS = 500;

/** Sets the timer, unless it is set. */
export const setQuotasTimer = ({ quotas }: GatewayState, at: number): GatewayEffect[] => {
  if (quotas.timerAt !== undefined) {
    return [];
  }
  quotas.timerAt = at + SWEEP_MS;
  return [{ type: 'set-quotas-timer', at: quotas.timerAt }];
};
