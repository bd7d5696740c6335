/** Builds configurations in the format in which the platform's operator writes them into the store. */

/** Limits of a configuration. */
export const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 262_144,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
};

/** Host of all routes. */
export const HOST = 'shop.example';

/** Returns a route in the operator's format, with defaults for fields that are not given. */
export const routeSpec = (fields: Readonly<Record<string, unknown>>): unknown => ({
  name: `route-${JSON.stringify(fields['path_prefix'])}`,
  host: HOST,
  kind: 'safe',
  timeout_ms: 2_000,
  target_ms: 400,
  priority: 1,
  max_attempts: 2,
  ...fields,
});

/** Returns the services of a configuration, all with the same connection limit per replica. */
const serviceSpecs = (services: readonly string[], maxConnections: number): readonly unknown[] =>
  services.map((name) => ({ name, health_path: '/health', max_conns: maxConnections }));

/** Returns a tenant in the operator's format. */
export const tenantSpec = (
  name: string,
  keys: readonly string[],
  fields: Readonly<Record<string, unknown>> = {},
): unknown => ({ name, api_keys: keys, ...fields });

/** Kind and name of the configuration's entry in the store. */
export const CONFIGURATION_ENTRY = { kind: 'config', name: 'main' } as const;

/** Kind of the entries of replicas in the store. */
export const REPLICA_KIND = 'servers';

/** Returns a complete configuration, the content of the entry `config/main`. */
export const configurationSpec = (
  version: number,
  routes: readonly unknown[],
  services: readonly string[],
  maxConnections: number,
  limits: Partial<typeof LIMITS> = {},
  tenants?: unknown,
): unknown => ({
  version,
  routes,
  services: serviceSpecs(services, maxConnections),
  limits: { ...LIMITS, ...limits },
  ...(tenants !== undefined && { tenants }),
});

/** A route, independent of the operator's format. */
export interface OperatorRoute {
  readonly name: string;
  readonly pathPrefix: string;
  readonly repeatable: boolean;
  readonly maxAttempts: number;
  /** Services that get its requests: a single one, the parts of a split with equal weights, or all shards. */
  readonly services: readonly string[];
  readonly gather?: { readonly maxRecords: number; readonly minCoverage: number };
  /** Timeout and objective, in milliseconds; absent for the defaults. */
  readonly timeoutMs?: number;
  readonly objectiveMs?: number;
}

const targetSpec = ({ services, gather }: OperatorRoute): Readonly<Record<string, unknown>> => {
  if (gather !== undefined) {
    return { gather: services, top_k: gather.maxRecords, min_coverage: gather.minCoverage };
  }
  const [service] = services;
  return services.length === 1
    ? { service }
    : { split: services.map((each) => ({ service: each, weight: 1 })) };
};

/** Converts a route to the operator's format. */
export const operatorRouteSpec = (route: OperatorRoute): unknown =>
  routeSpec({
    name: route.name,
    path_prefix: route.pathPrefix,
    kind: route.repeatable ? 'safe' : 'unsafe',
    max_attempts: route.maxAttempts,
    ...(route.timeoutMs !== undefined && { timeout_ms: route.timeoutMs }),
    ...(route.objectiveMs !== undefined && { target_ms: route.objectiveMs }),
    ...targetSpec(route),
  });
