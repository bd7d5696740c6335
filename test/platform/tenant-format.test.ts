import { describe, expect, it } from 'vitest';
import { readConfiguration } from '../../platform/configuration-format.js';
import type { GatewayConfiguration } from '../../src/gateway/model/route.js';
import { keyDigestOf } from '../../src/gateway/runtime/key-digest.js';
import { configurationSpec, routeSpec, tenantSpec } from './operator-spec.js';

const read = (tenants: unknown, routeFields: Readonly<Record<string, unknown>> = {}) =>
  readConfiguration(
    configurationSpec(
      1,
      [routeSpec({ path_prefix: '/', service: 'desk', ...routeFields })],
      ['desk'],
      8,
      {},
      tenants,
    ),
  );

const accepted = (...parameters: Parameters<typeof read>): GatewayConfiguration =>
  read(...parameters).unsafeCoerce();

const placesOf = (tenants: unknown, fields = {}): readonly string[] =>
  read(tenants, fields).caseOf<readonly string[]>({
    Left: (findings) => findings.map(({ place }) => place.replace('config/main.', '')),
    Right: () => [],
  });

const bulk = (fields: Readonly<Record<string, unknown>>): unknown =>
  tenantSpec('bulk', ['key-1'], fields);

describe('tenants of a configuration', () => {
  it('are absent if the configuration has no such field', () => {
    expect(accepted(undefined)).not.toHaveProperty('tenants');
  });

  it('are read with all their fields; keys are kept as digests only', () => {
    const fields = { priority: 2, rate_per_s: 0.05, burst: 3, allowed_regions: ['addis'] };
    const { tenants } = accepted([tenantSpec('bulk', ['key-1', 'key-2'], fields)]);
    expect(tenants).toEqual([
      {
        name: 'bulk',
        keyDigests: [keyDigestOf('key-1'), keyDigestOf('key-2')],
        priority: 2,
        limit: { ratePerSecond: 0.05, burst: 3 },
        allowedRegions: ['addis'],
      },
    ]);
    expect(JSON.stringify(tenants)).not.toContain('key-1');
  });

  it('need no field besides name and keys, and may have no keys', () => {
    const { tenants } = accepted([tenantSpec('bulk', []), tenantSpec('desk', ['k'])]);
    expect(tenants).toEqual([
      { name: 'bulk', keyDigests: [] },
      { name: 'desk', keyDigests: [keyDigestOf('k')] },
    ]);
    expect(accepted([]).tenants).toEqual([]);
  });

  it.each([{ rate_per_s: 0, burst: 9 }, { burst: 9 }, { rate_per_s: 0 }])(
    'have no limit with %o',
    (fields) => {
      expect(accepted([bulk(fields)]).tenants?.[0]).not.toHaveProperty('limit');
    },
  );

  it('have no burst if it is not given', () => {
    const { tenants } = accepted([bulk({ rate_per_s: 4 })]);
    expect(tenants?.[0]?.limit).toEqual({ ratePerSecond: 4, burst: 0 });
  });

  it('may have keys of 1,024 characters', () => {
    expect(placesOf([tenantSpec('bulk', ['k'.repeat(1_024)])])).toEqual([]);
  });

  it.each<readonly [string, string, unknown]>([
    ['no list', 'tenants', { bulk: ['key-1'] }],
    ['null, which would admit every request', 'tenants', null],
    ['no name', 'tenants[0].name', [{ api_keys: ['key-1'] }]],
    ['an empty name', 'tenants[0].name', [tenantSpec('', ['key-1'])]],
    ['a name of another type', 'tenants[0].name', [{ name: 7, api_keys: ['key-1'] }]],
    ['a line break in a name', 'tenants[0].name', [tenantSpec('a\r\nX-Other: b', ['key-1'])]],
    ['a name twice', 'tenants[1].name', [tenantSpec('a', ['key-1']), tenantSpec('a', ['key-2'])]],
    ['no keys', 'tenants[0].api_keys', [{ name: 'bulk' }]],
    ['a key of another type', 'tenants[0].api_keys[1]', [{ name: 'a', api_keys: ['key-1', 7] }]],
    ['an empty key', 'tenants[0].api_keys[1]', [tenantSpec('a', ['key-1', ''])]],
    ['a key of 1,025', 'tenants[0].api_keys[0]', [tenantSpec('a', ['k'.repeat(1_025)])]],
    ['a key of 10 KB', 'tenants[0].api_keys[0]', [tenantSpec('a', ['k'.repeat(10_240)])]],
    ['a key twice', 'tenants[0].api_keys[2]', [tenantSpec('a', ['key-1', 'key-2', 'key-1'])]],
    [
      'a key of two tenants',
      'tenants[2].api_keys[0]',
      [tenantSpec('a', ['key-1']), tenantSpec('b', []), tenantSpec('c', ['key-1'])],
    ],
    ['a negative rate', 'tenants[0].rate_per_s', [bulk({ rate_per_s: -1 })]],
    ['an infinite rate', 'tenants[0].rate_per_s', [bulk({ rate_per_s: JSON.parse('1e999') })]],
    ['a rate of another type', 'tenants[0].rate_per_s', [bulk({ rate_per_s: '4' })]],
    ['a rate that is null', 'tenants[0].rate_per_s', [bulk({ rate_per_s: null })]],
    ['a negative burst', 'tenants[0].burst', [bulk({ rate_per_s: 4, burst: -0.1 })]],
    ['an infinite burst', 'tenants[0].burst', [bulk({ burst: JSON.parse('1e999') })]],
    ['a negative priority', 'tenants[0].priority', [bulk({ priority: -1 })]],
    ['regions of another type', 'tenants[0].allowed_regions', [bulk({ allowed_regions: 'addis' })]],
    ['regions that are null', 'tenants[0].allowed_regions', [bulk({ allowed_regions: null })]],
  ])('are malformed with %s, at %s', (_case, place, tenants) => {
    expect(placesOf(tenants)).toEqual([place]);
  });

  it('are malformed with a tenant of another type, which lacks all required fields', () => {
    const expected = ['tenants[0]', 'tenants[0].name', 'tenants[0].api_keys'];
    expect(placesOf(['bulk'])).toEqual(expected);
    expect(placesOf([null])).toEqual(expected);
  });

  it('report the place of each malformed tenant', () => {
    const tenants = [tenantSpec('a', ['']), bulk({}), tenantSpec('c', ['x'], { burst: -1 })];
    expect(placesOf(tenants)).toEqual(['tenants[0].api_keys[0]', 'tenants[2].burst']);
  });

  it('are reported without the keys, since findings are logged', () => {
    const long = 'secret'.repeat(400);
    const tenants = [tenantSpec('a', ['secret-1', 'secret-1', long]), tenantSpec('b', [long])];
    const findings = read(tenants).swap().unsafeCoerce();
    expect(findings).toHaveLength(4);
    expect(JSON.stringify(findings)).not.toContain('secret');
    expect(JSON.stringify(findings)).not.toContain(keyDigestOf('secret-1'));
  });
});

describe('a route', () => {
  it('is anonymous only if it says so', () => {
    expect(accepted([], { anonymous: true }).routes[0]?.anonymous).toBe(true);
    expect(accepted([], { anonymous: false }).routes[0]).not.toHaveProperty('anonymous');
    expect(accepted([]).routes[0]).not.toHaveProperty('anonymous');
  });

  it.each(['true', 1, null])('is malformed if `anonymous` is %o', (anonymous) => {
    expect(placesOf([], { anonymous })).toEqual(['routes[0].anonymous']);
  });
});
