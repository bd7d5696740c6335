/** Validated settings of a gateway process. */
import type { HostPort } from '../settings/node-settings.js';
import type { LogLevel } from '../settings/log-level.js';

/** Bounds that the operators of the tier guarantee or require. */
export interface GatewayBounds {
  /** Time for which a leaving replica still serves, in milliseconds. */
  readonly drainMs: number;
  /** Time between the request to stop and the forced end of the process, in milliseconds. */
  readonly graceMs: number;
  /** Time within which an accepted configuration must be in force, in milliseconds. */
  readonly configurationMs: number;
  /**
   * Time after an evacuation order within which the zone's replicas must no longer get requests, in milliseconds; absent if
   * evacuations are not used.
   */
  readonly evacuationMs?: number;
  /** Time between two heartbeats of a replica in the store, in milliseconds; absent if unknown. */
  readonly replicaHeartbeatMs?: number;
  /** Factor by which requests to a cold replica may exceed its rate; absent for 1. */
  readonly coldOvershoot?: number;
  /** Requests per second to a cold replica allowed in addition; absent for none. */
  readonly coldSlack?: number;
  /**
   * Time after which a request may no longer run whose API key was removed before the request was sent, in milliseconds, at
   * any gateway; absent if revocations have the bound of other changes of the configuration.
   */
  readonly keyRevocationMs?: number;
  /** Sliding window over which tenants' limits apply, in milliseconds; absent if they are not enforced. */
  readonly quotaWindowMs?: number;
  /** Share by which a tenant's requests in a window may exceed its limit; absent for 0. */
  readonly quotaOvershoot?: number;
  /** Requests of a tenant in a window that are tolerated in addition; absent for none. */
  readonly quotaSlack?: number;
  /** Additional attempts that each request to a service allows, over all gateways. */
  readonly retryRatio: number;
  /** Sliding window over which the ratio applies, in milliseconds. */
  readonly retryWindowMs: number;
  /** Additional attempts at a service per window, on top of the ratio, over all gateways. */
  readonly retrySlack: number;
}

/** Settings of a gateway. */
export interface GatewaySettings {
  /** Name of the gateway, unique among all gateways. */
  readonly node: string;
  readonly zone: string;
  /** Processor capacity of this machine, in cores of the usual speed. */
  readonly capacity: number;
  /** Memory after which the process is killed, in MB; absent if unknown. */
  readonly memoryMb?: number;
  /** The whole tier starts for the first time; no effects of earlier processes remain. */
  readonly firstStart: boolean;
  /** The region of each zone. */
  readonly zoneRegions: Readonly<Record<string, string>>;
  /** HTTP address for callers. */
  readonly callers: HostPort;
  /** HTTP address at which the load balancer checks readiness. */
  readonly readiness: HostPort;
  /** HTTP address of the metrics; absent if they are not served. */
  readonly metrics?: HostPort;
  /** TCP address for other gateways. */
  readonly peers: HostPort;
  /** Gateways to contact first; may be outdated. */
  readonly seeds: readonly HostPort[];
  readonly store: HostPort;
  readonly bounds: GatewayBounds;
  readonly logLevel: LogLevel;
}
