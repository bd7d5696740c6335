/**
 * The replicas of a service that a request may be sent to at all: none in a zone that is evacuated, and
 * none outside the regions that its route allows.
 */
import type { GatewayState } from '../state.js';
import type { Replica } from './replica.js';

/** Whether requests of a route that allows `allowedRegions` may go to a zone now. */
export const isZoneOpen = (
  { evacuatedZones, settings }: GatewayState,
  zone: string,
  allowedRegions?: readonly string[],
): boolean => {
  const region = settings.zoneRegions[zone] ?? '';
  return !evacuatedZones.has(zone) && (allowedRegions?.includes(region) ?? true);
};

/** The replicas of `service` in zones that are open to a route. */
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
