/** Settings of a gateway process, after checks. */
import type { HostPort } from '../settings/node-settings.js';
import type { LogLevel } from '../settings/log-level.js';

/** Bounds that the operators of the tier promise or ask for. */
export interface GatewayBounds {
  /** Time for which a replica that leaves still serves, in milliseconds. */
  readonly drainMs: number;
  /** Time between the request to stop and the end of the process by force, in milliseconds. */
  readonly graceMs: number;
  /** Time within which an accepted configuration must be in force, in milliseconds. */
  readonly configurationMs: number;
  /**
   * Time within which the replicas of a zone must get no more requests after the operator's order, in
   * milliseconds; absent where zones are not evacuated.
   */
  readonly evacuationMs?: number;
  /** Time between two heartbeats of a replica in the store, in milliseconds; absent where it is not known. */
  readonly replicaHeartbeatMs?: number;
  /** How far the requests to a cold replica may exceed its rate; absent for not at all. */
  readonly coldOvershoot?: number;
  /** Requests a second to a cold replica besides; absent for none. */
  readonly coldSlack?: number;
  /** Extra arrivals at a service that each request allows, over all gateways. */
  readonly retryRatio: number;
  /** Sliding window of that ratio, in milliseconds. */
  readonly retryWindowMs: number;
  /** Extra arrivals at a service in a window besides the ratio, over all gateways. */
  readonly retrySlack: number;
}

/** What a gateway runs with. */
export interface GatewaySettings {
  /** Unique over all gateways. */
  readonly node: string;
  readonly zone: string;
  /** Processor of this machine, in cores of the usual speed. */
  readonly capacity: number;
  /** The whole tier starts for the first time: nothing of earlier processes is left anywhere. */
  readonly firstStart: boolean;
  /** The region of each zone. */
  readonly zoneRegions: Readonly<Record<string, string>>;
  /** Where callers connect, over HTTP. */
  readonly callers: HostPort;
  /** Where the load balancer asks for readiness, over HTTP. */
  readonly readiness: HostPort;
  /** Where metrics are served, over HTTP; absent where they are not. */
  readonly metrics?: HostPort;
  /** Where other gateways connect, over TCP. */
  readonly peers: HostPort;
  /** Gateways to ask first; may be stale. */
  readonly seeds: readonly HostPort[];
  readonly store: HostPort;
  readonly bounds: GatewayBounds;
  readonly logLevel: LogLevel;
}
