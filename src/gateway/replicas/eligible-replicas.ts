/**
 * Selects the replicas of a service that may receive a request: those in zones that are not evacuated and in regions that
 * the route allows.
 */
import type { GatewayState } from '../state.js';
import type { Replica } from './replica.js';

/** Whether a zone is not evacuated and lies in one of the `allowedRegions`; absent regions allow all zones. */
export const isZoneOpen = (
  { evacuatedZones, settings }: GatewayState,
  zone: string,
  allowedRegions?: readonly string[],
): boolean => {
  const region = settings.zoneRegions[zone] ?? '';
  return !evacuatedZones.has(zone) && (allowedRegions?.includes(region) ?? true);
};

/** The replicas of `service` in zones that are open to a route with `allowedRegions`. */
export const eligibleReplicas = (
  state: GatewayState,
  service: string,
  allowedRegions?: readonly string[],
): readonly Replica[] => {
  const replicas = state.replicas.of(service);
  if (state.evacuatedZones.size === 0 && allowedRegions === undefined) {
    return replicas;
  }
  return replicas.filter(({ record }) => isZoneOpen(state, record.zone, allowedRegions));
};
