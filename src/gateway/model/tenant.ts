/** Tenants: callers that are identified by API keys and may have limits of their own. */

/**
 * Digest of an API key: the first 16 bytes of its SHA-256 hash in base64url. Configurations and events hold digests, so
 * that the keys themselves reach neither other gateways nor logs.
 */
export type KeyDigest = string;

/** Limit on the requests of a tenant, over all gateways together. */
export interface TenantLimit {
  readonly ratePerSecond: number;
  /** Requests allowed in addition to the rate. */
  readonly burst: number;
}

/** One tenant of a configuration. */
export interface Tenant {
  readonly name: string;
  readonly keyDigests: readonly KeyDigest[];
  /** Priority under load, which takes precedence over that of the route; 0 is the highest. Absent if it has none. */
  readonly priority?: number;
  /** Absent if the tenant's requests are not limited. */
  readonly limit?: TenantLimit;
  /** Regions in which its requests may be served; absent if all are allowed. */
  readonly allowedRegions?: readonly string[];
}
