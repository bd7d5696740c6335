/** The routes of each version of the configuration. */
import type { OperatorRoute } from '../../test/platform/operator-spec.js';
import { INDEXES } from './topology.js';

/** Prefixes of the routes that every version has. */
export const PREFIXES = {
  /** A gather; the index moves to other shards with every third version. */
  gather: '/browse/',
  /** Requests that may be repeated; they move to another service with each version. */
  moving: '/fetch/',
  /** Requests that may run only once. */
  once: '/book/',
  /** Requests that two services share. */
  split: '/either/',
} as const;

/** Versions after which the index moves to the other set of shards. */
const VERSIONS_PER_INDEX = 3;

/** Versions in which a route of its own stands. */
const VERSIONS_PER_MARKER = 2;

/** Prefix of the route that the version with a number adds, and that goes two versions later. */
export const markerPrefix = (number: number): string => `/only-${number}/`;

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

/** All routes of the version with a number, counted from 0. */
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
  ...markerRoutes(number),
];
