import { describe, expect, it } from 'vitest';
import type { Route } from '../../src/gateway/model/route.js';
import type { CallId } from '../../src/gateway/model/request.js';
import type { Tenant } from '../../src/gateway/model/tenant.js';
import { TenantDirectory } from '../../src/gateway/tenants/tenant-directory.js';
import { gatherOf, routeTo, VirtualGateway } from './virtual-gateway.js';

const DESK = { type: 'service', service: 'desk' } as const;
const OPEN = routeTo(DESK, { name: 'open', pathPrefix: '/x/', anonymous: true });
const KEYED = routeTo(DESK, { name: 'keyed' });

const tenant = (name: string, keyDigests: readonly string[], fields: Partial<Tenant> = {}) => ({
  name,
  keyDigests,
  ...fields,
});

const gatewayWith = (
  tenants: readonly Tenant[] | undefined,
  routes: readonly Route[] = [KEYED],
): VirtualGateway => {
  const gateway = new VirtualGateway();
  gateway.configure(1, routes, 32, undefined, tenants);
  gateway.listReplicas(['desk']);
  return gateway;
};

const configure = (gateway: VirtualGateway, version: number, tenants: readonly Tenant[]): void =>
  gateway.configure(version, [KEYED], 32, undefined, tenants);

const requestWith = (gateway: VirtualGateway, keyDigests?: readonly string[]): CallId =>
  gateway.request(900, false, undefined, keyDigests);

/** Callers in the order in which the driver received them; `undefined` for anonymous ones. */
const callersOf = ({ effects }: VirtualGateway): readonly (string | undefined)[] =>
  effects.flatMap((effect) => (effect.type === 'set-caller' ? [effect.tenant] : []));

const refusalOf = (gateway: VirtualGateway, call: CallId): string | undefined => {
  const response = gateway.answers.get(call);
  return response?.type === 'refusal' ? response.reason : undefined;
};

describe('a request where the configuration has tenants', () => {
  it.each<readonly [string, readonly string[] | undefined, string]>([
    ['no key', undefined, 'key-missing'],
    ['a key of nobody', ['k9'], 'key-unknown'],
    ['different keys, one of them known', ['k1', 'k9'], 'key-unknown'],
    ['different keys of one tenant', ['k1', 'k2'], 'key-unknown'],
  ])('is refused and reaches no replica with %s', (_case, digests, reason) => {
    const gateway = gatewayWith([tenant('bulk', ['k1', 'k2'])]);
    const call = requestWith(gateway, digests);
    expect(gateway.answers.get(call)).toEqual({ type: 'refusal', reason, mayHaveRun: false });
    expect(gateway.sent).toEqual([]);
    expect(callersOf(gateway)).toEqual([]);
  });

  it('is sent for the tenant that holds the key, whichever of its keys it is', () => {
    const gateway = gatewayWith([tenant('bulk', ['k1', 'k2']), tenant('desk', ['k3'])]);
    ['k1', 'k2', 'k3'].forEach((digest) => requestWith(gateway, [digest]));
    requestWith(gateway, ['k3', 'k3']);
    expect(callersOf(gateway)).toEqual(['bulk', 'bulk', 'desk', 'desk']);
    expect(gateway.sent).toHaveLength(4);
  });

  it('replaces the caller before the first attempt, so that the attempt cannot carry the key', () => {
    const gateway = gatewayWith([tenant('bulk', ['k1'])]);
    requestWith(gateway, ['k1']);
    const types = gateway.effects.map(({ type }) => type);
    expect(types.indexOf('set-caller')).toBeLessThan(types.indexOf('send-attempt'));
  });

  it('goes by the version in force: a key that moves, one that is removed, one that is added', () => {
    const gateway = gatewayWith([tenant('bulk', ['k1', 'k2']), tenant('desk', [])]);
    requestWith(gateway, ['k1']);
    const early = requestWith(gateway, ['k3']);
    configure(gateway, 2, [tenant('bulk', []), tenant('desk', ['k1', 'k3'])]);
    requestWith(gateway, ['k1']);
    requestWith(gateway, ['k3']);
    const removed = requestWith(gateway, ['k2']);
    expect(callersOf(gateway)).toEqual(['bulk', 'desk', 'desk']);
    expect([early, removed].map((call) => refusalOf(gateway, call))).toEqual([
      'key-unknown',
      'key-unknown',
    ]);
  });

  it('does not go by an older version that arrives later', () => {
    const gateway = gatewayWith([tenant('bulk', ['k1'])]);
    configure(gateway, 5, [tenant('bulk', ['k5'])]);
    configure(gateway, 4, [tenant('bulk', ['k4'])]);
    expect(refusalOf(gateway, requestWith(gateway, ['k4']))).toBe('key-unknown');
    expect(refusalOf(gateway, requestWith(gateway, ['k5']))).toBeUndefined();
  });

  it('needs a key once a version that came without its tenants comes with them', () => {
    const gateway = gatewayWith(undefined);
    expect(refusalOf(gateway, requestWith(gateway))).toBeUndefined();
    configure(gateway, 1, [tenant('bulk', ['k1'])]);
    expect(refusalOf(gateway, requestWith(gateway))).toBe('key-missing');
    gateway.configure(1, [KEYED]);
    expect(refusalOf(gateway, requestWith(gateway))).toBe('key-missing');
  });

  it('is refused on every keyed route by an empty list of tenants', () => {
    const gateway = gatewayWith([]);
    expect(refusalOf(gateway, requestWith(gateway, ['k1']))).toBe('key-unknown');
  });

  it('has no caller on an anonymous route, with a known key, an unknown one or none', () => {
    const gateway = gatewayWith([tenant('bulk', ['k1'])], [routeTo(DESK, { anonymous: true })]);
    [['k1'], ['k9'], undefined].forEach((digests) => requestWith(gateway, digests));
    expect(callersOf(gateway)).toEqual([undefined, undefined, undefined]);
    expect(gateway.sent).toHaveLength(3);
  });

  it('needs a key by its longest matching route', () => {
    const gateway = gatewayWith([tenant('bulk', ['k1'])], [OPEN, KEYED]);
    expect(refusalOf(gateway, requestWith(gateway))).toBe('key-missing');
  });

  it('is logged with route, version and its age, and without the digest, when its key is refused', () => {
    const gateway = gatewayWith([tenant('bulk', ['digest-1'])]);
    gateway.now = 250;
    requestWith(gateway, ['digest-9']);
    const traces = gateway.effects.filter(({ type }) => type === 'write-trace');
    expect(traces).toMatchObject([
      {
        reason: 'failed',
        decisions: [
          {
            decision: {
              reason: 'key-unknown',
              refusedKey: { route: 'keyed', keys: 1, version: 1, versionAgeMs: 250 },
            },
          },
        ],
      },
    ]);
    expect(JSON.stringify(traces)).not.toContain('digest');
  });
});

describe('a request before the first configuration', () => {
  it('is held and then identified, so that a valid key gets no 401', () => {
    const gateway = new VirtualGateway();
    const call = requestWith(gateway, ['k1']);
    const keyless = requestWith(gateway);
    gateway.listReplicas(['desk']);
    configure(gateway, 1, [tenant('bulk', ['k1'])]);
    expect(callersOf(gateway)).toEqual(['bulk']);
    expect(gateway.sent.map((sent) => sent.call)).toEqual([call]);
    expect(refusalOf(gateway, keyless)).toBe('key-missing');
  });

  it('is refused as not run, never for its key, when no configuration arrives', () => {
    const gateway = new VirtualGateway();
    const calls = [requestWith(gateway), requestWith(gateway, ['k1'])];
    gateway.advanceTo(1_000);
    expect(calls.map((call) => refusalOf(gateway, call))).toEqual([
      'no-configuration',
      'no-configuration',
    ]);
  });
});

describe('a request where the configuration has no tenants', () => {
  it('is sent with its headers unchanged', () => {
    const gateway = gatewayWith(undefined);
    requestWith(gateway, ['k1']);
    requestWith(gateway);
    expect(callersOf(gateway)).toEqual([]);
    expect(gateway.sent).toHaveLength(2);
  });
});

describe('the regions of a tenant', () => {
  const regionsOf = (own: readonly string[] | undefined, ofTenant?: readonly string[]) => {
    const route = routeTo(DESK, own === undefined ? {} : { allowedRegions: own });
    const fields = ofTenant === undefined ? {} : { allowedRegions: ofTenant };
    const gateway = gatewayWith([tenant('bulk', ['k1'], fields)], [route]);
    const call = requestWith(gateway, ['k1']);
    return [gateway.sent.length, refusalOf(gateway, call)];
  };

  it.each<readonly [string, readonly string[] | undefined, readonly string[] | undefined]>([
    ['neither has any', undefined, undefined],
    ['only the route has some', ['addis'], undefined],
    ['only the tenant has some', undefined, ['addis']],
    ['both name the region', ['wales', 'addis'], ['addis', 'ghent']],
  ])('admit a replica when %s', (_case, own, ofTenant) => {
    expect(regionsOf(own, ofTenant)).toEqual([1, undefined]);
  });

  it.each<readonly [string, readonly string[] | undefined, readonly string[]]>([
    ['the tenant excludes the region', ['addis'], ['wales']],
    ['the route excludes the region', ['wales'], ['addis', 'wales']],
    ['the tenant has an empty list', undefined, []],
    ['nothing is in both lists', ['addis'], ['ghent']],
  ])('refuse the request at once, as not run, when %s', (_case, own, ofTenant) => {
    expect(regionsOf(own, ofTenant)).toEqual([0, 'no-replica']);
  });
});

describe('a subquery', () => {
  const SHARDS = Array.from({ length: 64 }, (_, index) => `s${index}`);

  const gatewayRecord = (name: string, capacity: number) => ({
    name,
    zone: 'bole',
    address: { host: '127.0.0.1', port: 1 },
    capacity,
  });

  /** The coordinator, whose capacity is too low to be a feeder, and gateways that are feeders. */
  const GATEWAYS = [
    gatewayRecord('front-0', 0.3),
    ...Array.from({ length: 32 }, (_, index) => gatewayRecord(`front-${index + 1}`, 1)),
  ];

  const gatherWith = (tenants: readonly Tenant[] | undefined, fields: Partial<Route> = {}) => {
    const gateway = new VirtualGateway(40, 'front-0', 0.3);
    gateway.configure(1, [routeTo(gatherOf(64, 0.5), fields)], 32, undefined, tenants);
    gateway.listReplicas(SHARDS);
    gateway.listGateways(GATEWAYS);
    gateway.request(900, false, 'print-1', ['k1']);
    expect(gateway.subqueries).not.toEqual([]);
    return gateway;
  };

  it('carries the fingerprint for a tenant, since a feeder computes another one without the key', () => {
    const gateway = gatherWith([tenant('bulk', ['k1'])]);
    gateway.subqueries.forEach(({ subquery }) => expect(subquery.fingerprint).toBe('print-1'));
  });

  it('carries it on an anonymous route, where the key is removed as well', () => {
    const gateway = gatherWith([tenant('bulk', ['k1'])], { anonymous: true });
    gateway.subqueries.forEach(({ subquery }) => expect(subquery.fingerprint).toBe('print-1'));
  });

  it('carries it again after a feeder has failed, also if the tenants were removed meanwhile', () => {
    const gateway = gatherWith([tenant('bulk', ['k1'])]);
    gateway.configure(2, [routeTo(gatherOf(64, 0.5))]);
    gateway.subqueries.slice().forEach(({ id }) => {
      gateway.emit({ type: 'subquery-failed', at: gateway.now, subquery: id, mayHaveRun: true });
    });
    const repeats = gateway.subqueries.filter(({ subquery }) => subquery.isRepeat);
    expect(repeats).not.toEqual([]);
    repeats.forEach(({ subquery }) => expect(subquery.fingerprint).toBe('print-1'));
  });

  it('has no additional field where the configuration has no tenants', () => {
    const gateway = gatherWith(undefined);
    gateway.subqueries.forEach(({ subquery }) => {
      expect(Object.keys(subquery)).not.toContain('fingerprint');
      expect(Object.keys(subquery)).not.toContain('rank');
    });
  });

  it('carries the regions that both route and tenant allow', () => {
    const fields = { allowedRegions: ['addis', 'ghent'] };
    const gateway = gatherWith([tenant('bulk', ['k1'], fields)], { allowedRegions: ['addis'] });
    gateway.subqueries.forEach(({ subquery }) =>
      expect(subquery.allowedRegions).toEqual(['addis']),
    );
  });
});

describe('the directory of tenants', () => {
  it('finds the holder of each of thousands of keys', () => {
    const tenants = Array.from({ length: 10_000 }, (_, index) =>
      tenant(`t${index}`, [`a${index}`, `b${index}`]),
    );
    const directory = new TenantDirectory(tenants);
    tenants.forEach((each) =>
      each.keyDigests.forEach((digest) => expect(directory.find(digest)).toBe(each)),
    );
    expect(directory.find('a10000')).toBeUndefined();
  });
});
