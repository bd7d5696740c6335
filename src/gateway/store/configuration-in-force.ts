/** Decides whether a configuration replaces the one in force, and builds the indexes that are used with it. */
import { type GatewayConfiguration, shardsOf } from '../model/route.js';
import { RouteTable } from '../routing/route-table.js';
import type { ConfigurationInForce } from '../state.js';
import { hashKeys } from '../tenants/keys-hash.js';
import { TenantDirectory } from '../tenants/tenant-directory.js';

/**
 * Whether a configuration replaces the one in force: its version is higher, or it has the tenants that the same version in
 * force lacks. A reader of an earlier build ignores the tenants of the configuration that it sends to its followers.
 */
export const isNewConfiguration = (
  { version, tenants }: GatewayConfiguration,
  inForce: ConfigurationInForce | undefined,
): boolean => {
  if (inForce === undefined) {
    return true;
  }
  const known = inForce.configuration.version;
  const addsTenants = tenants !== undefined && inForce.tenants === undefined;
  return version > known || (version === known && addsTenants);
};

/** Returns a configuration with its indexes. */
export const createInForce = (
  configuration: GatewayConfiguration,
  at: number,
): ConfigurationInForce => {
  const { routes, tenants } = configuration;
  return {
    configuration,
    table: new RouteTable(routes),
    shards: shardsOf(routes),
    tenants: tenants === undefined ? undefined : new TenantDirectory(tenants),
    keysHash: tenants === undefined ? undefined : hashKeys(tenants),
    since: at,
  };
};
