/** The configuration of a gateway: routes, services, tenants and limits. */
import type { Tenant } from './tenant.js';

/** One service of a split, with its share of the requests. */
export interface SplitPart {
  readonly service: string;
  /** Weight relative to the other parts; not negative. */
  readonly weight: number;
}

/** Any replica of one service answers the request. */
export interface ServiceTarget {
  readonly type: 'service';
  readonly service: string;
}

/** Requests are divided among services in proportion to their weights. */
export interface SplitTarget {
  readonly type: 'split';
  readonly parts: readonly SplitPart[];
}

/** One replica of each shard answers; the answers are merged. */
export interface GatherTarget {
  readonly type: 'gather';
  /** Services that are the shards; each answers for its part of the index. */
  readonly shards: readonly string[];
  /** Maximum number of records of a merged answer. */
  readonly maxRecords: number;
  /** Minimum fraction of the shards for a success, 0 to 1. */
  readonly minCoverage: number;
}

/** Where the requests of a route go. */
export type RouteTarget = ServiceTarget | SplitTarget | GatherTarget;

/** A route, chosen by host and longest path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether a request may run more than once. */
  readonly repeatable: boolean;
  /** Longest time from the arrival of a request to its answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency up to which an answer has its full value to the caller, in milliseconds. */
  readonly objectiveMs: number;
  /** Maximum number of replicas of a service, or of each shard, that may run one request. */
  readonly maxAttempts: number;
  /** Priority under load; 0 is the highest. */
  readonly priority: number;
  /** Regions in which requests may be served; absent if all are allowed. */
  readonly allowedRegions?: readonly string[];
  /** Requests need no API key even if the configuration has tenants; absent for false. */
  readonly anonymous?: boolean;
  readonly target: RouteTarget;
}

/** Limits of a service that all of its callers share. */
export interface ServicePolicy {
  readonly name: string;
  /** Number of connections that one replica accepts from all callers together. */
  readonly maxConnections: number;
  /** Requests per second that a cold replica accepts from all callers together; absent for no limit. */
  readonly coldRequestsPerSecond?: number;
}

/** Limits on requests and connections of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  /** Time after which an idle connection of a caller is closed, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** One complete version of the configuration. */
export interface GatewayConfiguration {
  /** Rises with each change, not necessarily by 1. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServicePolicy>;
  readonly limits: CallerLimits;
  /** Absent if requests need no API key. */
  readonly tenants?: readonly Tenant[];
}

/** Services that are shards of a gather. */
export const shardsOf = (routes: readonly Route[]): ReadonlySet<string> =>
  new Set(routes.flatMap(({ target }) => (target.type === 'gather' ? target.shards : [])));

/** Services to which a route may send requests. */
export const servicesOf = (target: RouteTarget): readonly string[] => {
  switch (target.type) {
    case 'service':
      return [target.service];
    case 'split':
      return target.parts.map((part) => part.service);
    case 'gather':
      return target.shards;
  }
};

/** Tolerance for rounding errors in coverage products such as 0.89 x 100. */
const COVERAGE_EPSILON = 1e-9;

/** Minimum number of shards for a success, at least 1. */
export const minShards = ({ minCoverage, shards }: GatherTarget): number =>
  Math.max(1, Math.ceil(minCoverage * shards.length - COVERAGE_EPSILON));
