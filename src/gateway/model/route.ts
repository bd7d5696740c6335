/** Routes of a gateway and the configuration that holds them. */

/** One service of a split, with its share of the requests. */
export interface SplitPart {
  readonly service: string;
  /** Relative to the other parts; not negative. */
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

/** One replica of each shard answers; the parts are merged. */
export interface GatherTarget {
  readonly type: 'gather';
  /** Services that are the shards; each answers for its part of the index. */
  readonly shards: readonly string[];
  /** Most records of a merged answer. */
  readonly maxRecords: number;
  /** Least share of the shards for a success, 0 to 1. */
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
  /** Longest time that a request is held, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which an answer has its full worth, in milliseconds, seen by the caller. */
  readonly objectiveMs: number;
  /** Most replicas of a service (of each shard) that may run one request. */
  readonly maxAttempts: number;
  /** Rank under load; 0 is the most urgent. */
  readonly priority: number;
  /** Regions in which requests may be served; absent where all will do. */
  readonly allowedRegions?: readonly string[];
  readonly target: RouteTarget;
}

/** What all callers of a service share. */
export interface ServicePolicy {
  readonly name: string;
  /** Connections that one replica accepts from all callers together. */
  readonly maxConnections: number;
  /** Requests a second that a cold replica bears from all callers; absent where that is not limited. */
  readonly coldRequestsPerSecond?: number;
}

/** Bounds on what callers may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  /** Time after which an idle connection of a caller is closed. */
  readonly idleTimeoutMs: number;
}

/** One version of the configuration, whole. */
export interface GatewayConfiguration {
  /** Rises with each change, in uneven steps. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServicePolicy>;
  readonly limits: CallerLimits;
}

/** Services that gathers name as shards. */
export const shardsOf = (routes: readonly Route[]): ReadonlySet<string> =>
  new Set(routes.flatMap(({ target }) => (target.type === 'gather' ? target.shards : [])));

/** Services to which a route may send. */
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
