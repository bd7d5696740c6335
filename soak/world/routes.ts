/** Routes of each version of the configuration. */
import type { OperatorRoute } from '../../test/platform/operator-spec.js';
import { INDEXES } from './topology.js';

/** Prefixes of the routes that every version has. */
export const PREFIXES = {
  /** A gather; it moves to the other set of shards with every third version. */
  gather: '/browse/',
  /** Repeatable requests; they move to another service with each version. */
  moving: '/fetch/',
  /** Requests that may run at most once. */
  once: '/book/',
  /** Requests that are served by two services. */
  split: '/either/',
  /** Requests that take long, which may be repeated, and which may run at most once. */
  long: '/search/',
  longOnce: '/plan/',
} as const;

/** Number of versions after which the gather moves to the other set of shards. */
const VERSIONS_PER_INDEX = 3;

/** Number of versions that contain the same marker route. */
const VERSIONS_PER_MARKER = 2;

/** Prefix of the marker route added by version `number` and removed two versions later. */
export const markerPrefix = (number: number): string => `/only-${number}/`;

/** Timeout and objective of the routes whose requests take long, in milliseconds. */
const LONG_TIMES = { timeoutMs: 15_000, objectiveMs: 3_000 } as const;

const markerRoutes = (number: number): readonly OperatorRoute[] =>
  Array.from({ length: VERSIONS_PER_MARKER }, (_, back) => number - back)
    .filter((each) => each >= 0)
    .map((each) => ({
      name: `only-${each}`,
      pathPrefix: markerPrefix(each),
      repeatable: true,
      maxAttempts: 2,
      services: ['archive'],
    }));

/** Returns all routes of version `number`, counted from 0. */
export const routesOf = (number: number): readonly OperatorRoute[] => [
  {
    name: 'browse',
    pathPrefix: PREFIXES.gather,
    repeatable: true,
    maxAttempts: 2,
    services: INDEXES[Math.floor(number / VERSIONS_PER_INDEX) % INDEXES.length] ?? [],
    gather: { maxRecords: 10, minCoverage: 0.75 },
  },
  {
    name: 'fetch',
    pathPrefix: PREFIXES.moving,
    repeatable: true,
    maxAttempts: 3,
    services: [number % 2 === 0 ? 'archive' : 'annex'],
  },
  {
    name: 'book',
    pathPrefix: PREFIXES.once,
    repeatable: false,
    maxAttempts: 2,
    services: ['desk'],
  },
  {
    name: 'either',
    pathPrefix: PREFIXES.split,
    repeatable: true,
    maxAttempts: 2,
    services: ['desk', 'annex'],
  },
  {
    name: 'search',
    pathPrefix: PREFIXES.long,
    repeatable: true,
    maxAttempts: 2,
    services: ['annex'],
    ...LONG_TIMES,
  },
  {
    name: 'plan',
    pathPrefix: PREFIXES.longOnce,
    repeatable: false,
    maxAttempts: 2,
    services: ['desk'],
    ...LONG_TIMES,
  },
  ...markerRoutes(number),
];
