/** Generates content of the store with odd values in some of its fields. */
import fc from 'fast-check';
import { replicaSpec } from './odd-objects.js';
import { configurationSpec, HOST, routeSpec, tenantSpec } from './operator-spec.js';
import { RawJson } from './raw-json.js';

type Fields = Readonly<Record<string, unknown>>;

const DEPTH = 2_000;

const ODD_VALUES: readonly unknown[] = [
  null,
  true,
  [],
  {},
  [{}, 0, 'a', null],
  '',
  ' ',
  '\u0000',
  '\r\nx: y',
  '\ud800',
  '\u03a9',
  '__proto__',
  'constructor',
  'x'.repeat(5_000),
  0,
  -1,
  0.5,
  70_000,
  2 ** 31,
  2 ** 53,
  1e12,
  1e308,
  -1e308,
  new RawJson('1e999'),
  new RawJson('9'.repeat(400)),
  new RawJson(`${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}`),
  new RawJson(`${'{"a":'.repeat(DEPTH)}0${'}'.repeat(DEPTH)}`),
];

const ODD_ADDRESSES = ['127.0.0.1:70000', '127.0.0.1:0', '999.1.1.1:80', '[::1]:80', ':'];

const ABSENT = Symbol('absent');

const oddValue: fc.Arbitrary<unknown> = fc.constantFrom(...ODD_VALUES, ABSENT);

const oddAddress: fc.Arbitrary<unknown> = fc.oneof(fc.constantFrom(...ODD_ADDRESSES), oddValue);

/** Returns fields some of which have odd values or are absent. */
const spoil = (fields: Fields): fc.Arbitrary<Fields> =>
  fc.subarray(Object.keys(fields), { maxLength: 3 }).chain((names) => {
    const values = names.map((name) => (name === 'address' ? oddAddress : oddValue));
    return fc.tuple(...values).map((odd) => {
      const replaced = names.map((name, index) => [name, odd[index]] as const);
      const all: Fields = { ...fields, ...Object.fromEntries(replaced) };
      return Object.fromEntries(Object.entries(all).filter(([, value]) => value !== ABSENT));
    });
  });

const REPLICA = replicaSpec({ service: 'odd', born: 1 });

const GATEWAY = {
  zone: 'bole',
  address: '127.0.0.1:9',
  capacity: 1,
  suspects: [{ fingerprint: 'f', rounds: 1 }],
};

const ROUTE = { ...(routeSpec({ path_prefix: '/odd/', service: 'odd' }) as Fields), host: HOST };

/** Configurations whose version is the given one or none at all; all other fields may be odd. */
const oddConfiguration = (version: number): fc.Arbitrary<unknown> => {
  const sound = configurationSpec(version, [], ['odd'], 8) as Fields;
  const targets: readonly Fields[] = [
    {},
    { gather: ['odd', 'desk'], top_k: 3, min_coverage: 0.5 },
    { split: [{ service: 'odd', weight: 1 }] },
  ];
  const routes = fc
    .tuple(fc.constantFrom(...targets), fc.constant(ROUTE))
    .chain(([target, route]) => spoil({ ...route, ...target }))
    .map((route) => [route]);
  const tenants = spoil(tenantSpec('one', ['key'], { rate_per_s: 1, burst: 1 }) as Fields);
  return fc
    .tuple(spoil(sound), routes, tenants, spoil(sound['limits'] as Fields), fc.boolean())
    .map(([spoilt, oddRoutes, tenant, limits, isWhole]) => ({
      ...(isWhole ? sound : spoilt),
      ...(isWhole && { routes: oddRoutes, limits, tenants: [tenant] }),
      version,
    }));
};

const MOST_NAMES = 500;

const oddName = fc.oneof(
  { weight: 4, arbitrary: fc.nat(MOST_NAMES).map((number) => `i-${number}`) },
  fc.constantFrom('front-2', '__proto__', 'i-\ud800', 'i\r\nx', '\u03a9', ''),
);

/** An object of the store with odd values. */
export interface OddContent {
  readonly kind: 'servers' | 'gateways' | 'config' | 'evacuations';
  readonly name: string;
  readonly spec: unknown;
}

/** Objects of all kinds; the configuration among them has `version`. */
export const oddContent = (version: number): fc.Arbitrary<OddContent> =>
  fc.oneof(
    fc.record({ kind: fc.constant('servers' as const), name: oddName, spec: spoil(REPLICA) }),
    fc.record({ kind: fc.constant('gateways' as const), name: oddName, spec: spoil(GATEWAY) }),
    fc.record({
      kind: fc.constant('config' as const),
      name: fc.constantFrom('main', 'other'),
      spec: oddConfiguration(version),
    }),
    fc.record({
      kind: fc.constantFrom('servers' as const, 'gateways' as const, 'evacuations' as const),
      name: oddName,
      spec: oddValue.map((value) => (value === ABSENT ? null : value)),
    }),
  );

/** Settings some of which are odd. */
export const oddSettings: fc.Arbitrary<unknown> = fc
  .tuple(
    spoil({ node: 'front-1', zone: 'bole', processorShare: 1, firstStart: true, logLevel: 'info' }),
    spoil({ zoneRegions: { bole: 'addis' }, seeds: ['127.0.0.1:7'], memoryMb: 350 }),
    spoil({
      callers: '127.0.0.1:1',
      readiness: '127.0.0.1:2',
      metrics: '127.0.0.1:3',
      peers: '127.0.0.1:4',
      store: '127.0.0.1:5',
    }),
    spoil({ drainMs: 1, graceSeconds: 1, configurationMs: 1, retryRatio: 1, retrySlack: 1 }),
  )
  .map(([node, zones, addresses, bounds]) => ({ ...node, ...zones, ...addresses, bounds }));
