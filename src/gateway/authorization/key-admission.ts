/** Decides whether requests with API keys are admitted, held or refused, by the age of the last confirmation. */
import type { GatewayState } from '../state.js';
import { type ConfirmationTiming, confirmationTiming } from './confirmation-state.js';

/**
 * The timing of the confirmation; undefined where no confirmation is required: the settings give no time limit, or the
 * configuration in force has no tenants.
 */
export const requiredTiming = ({
  settings,
  inForce,
}: Pick<GatewayState, 'settings' | 'inForce'>): ConfirmationTiming | undefined => {
  const { keyRevocationMs } = settings.bounds;
  return keyRevocationMs === undefined || inForce?.configuration.tenants === undefined
    ? undefined
    : confirmationTiming(keyRevocationMs);
};

/** Whether requests with keys may be admitted at time `at`. */
export const areKeysConfirmed = (state: GatewayState, at: number): boolean => {
  const timing = requiredTiming(state);
  return timing === undefined || at - state.keyConfirmation.confirmedAt < timing.limitMs;
};

/** Whether a request with a key is held at time `at`, since a confirmation is about to arrive. */
export const isConfirmationAwaited = ({ keyConfirmation }: GatewayState, at: number): boolean =>
  at < keyConfirmation.awaitedUntil;

/** Whether this gateway is ready for requests with keys, as far as its routes require keys. */
export const isReadyForKeys = (state: GatewayState): boolean =>
  requiredTiming(state) === undefined ||
  state.keyConfirmation.isConfirmed ||
  (state.inForce?.configuration.routes ?? []).every(({ anonymous }) => anonymous === true);
