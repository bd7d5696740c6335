/**
 * Tests of keepers in the home zones of a partner: how they are chosen, and what has no influence.
 */
import { describe, expect, it } from 'vitest';
import {
  type KeeperRoster,
  type PartnerHome,
  rosterObjectName,
} from '../../src/catalog/keeper-roster.js';
import type { StoreContent, StoreObject } from '../../src/catalog/store-object.js';
import {
  identifier,
  type NodeId,
  type ObjectName,
  type PartnerId,
  type RequestId,
  type ZoneName,
} from '../../src/core/identifiers.js';
import { chooseKeepers } from '../../src/core/keepers/choose-keepers.js';
import { findRoster } from '../../src/core/keepers/find-roster.js';
import { PERIOD_MS } from '../../src/core/keepers/keeper-timing.js';
import { createMember } from '../../src/core/membership/state.js';
import { requestClaim } from '../../src/core/once/claim.js';
import { createRandom } from '../../src/core/random.js';
import { step } from '../../src/core/reducer.js';
import { createCoreState, type CoreState } from '../../src/core/state.js';
import { isStoreObject } from '../../src/protocol/codec/store-object-shape.js';
import { createIdempotencyKey } from '../../src/protocol/idempotency-key.js';

const PERIOD = 2_000;
const WALL = PERIOD * PERIOD_MS;
const TAWE = identifier<PartnerId>('tawe');
const ENSEMBLE = identifier<PartnerId>('ensemble');
const HALLS = ['swansea', 'neath', 'llanelli'];
const ZONES = ['bole', 'arada', 'kirkos', 'yeka', ...HALLS];

const homeOf = (partner: PartnerId, zones: readonly string[]): PartnerHome => ({
  partner,
  zones: zones.map((zone) => identifier<ZoneName>(zone)),
});

const rosterOf = (
  nodesPerZone: (zone: string) => number,
  homes: readonly PartnerHome[],
): KeeperRoster => ({
  period: PERIOD,
  keepers: ZONES.flatMap((zone) =>
    Array.from({ length: nodesPerZone(zone) }, (_, index) => ({
      node: identifier<NodeId>(`${zone}/${index}`),
      zone: identifier<ZoneName>(zone),
      incarnation: WALL,
    })),
  ),
  homes,
});

const zonesOf = (nodes: readonly NodeId[]): string[] =>
  nodes.map((node) => node.slice(0, node.indexOf('/')));

const subjects = Array.from({ length: 200 }, (_, index) => `key-${index}`);

/** Lists the zones in which `partner` has keepers, over many subjects. */
const zonesUsed = (roster: KeeperRoster, partner: PartnerId): string[] => {
  const nodes = subjects.flatMap((subject) => chooseKeepers(roster, partner, subject).nodes);
  return [...new Set(zonesOf(nodes))].sort();
};

/** Returns the maximum number of keepers of one subject in one zone. */
const maxPerZone = (roster: KeeperRoster, partner: PartnerId): number =>
  Math.max(
    ...subjects.flatMap((subject) => {
      const zones = zonesOf(chooseKeepers(roster, partner, subject).nodes);
      return zones.map((zone) => zones.filter((each) => each === zone).length);
    }),
  );

const identityOf = (node: string, zone: string) => ({
  node: identifier<NodeId>(node),
  zone: identifier<ZoneName>(zone),
  region: 'region',
  address: { host: '127.0.0.1', port: 1 },
  incarnation: WALL,
});

const startNode = (zone: string): CoreState => {
  const state = createCoreState({ self: identityOf(`${zone}/0`, zone), seeds: [], seed: 1 });
  step(state, { type: 'started', at: 0 });
  return state;
};

const statusOf = (partner: PartnerId, service: string, zones: readonly string[]): StoreContent => ({
  type: 'status',
  status: {
    partner,
    service: identifier(service),
    replicas: zones.map((zone, index) => ({
      replica: identifier(`${service}/${index}`),
      zone: identifier(zone),
      host: '127.0.0.1',
      port: 1,
      slots: 1,
      connections: 1,
      lifecycle: 'ready',
      snapshots: [1],
    })),
  },
});

const applyObject = (
  state: CoreState,
  name: string,
  content: StoreContent,
  revision: number,
): void => {
  const object: StoreObject = {
    name: identifier<ObjectName>(name),
    version: revision,
    revision,
    content,
  };
  const after = state.configuration.revision;
  step(state, { type: 'store-changed', at: 0, after, through: revision, objects: [object] });
};

const applyRoster = (state: CoreState, roster: KeeperRoster, revision: number): void =>
  applyObject(state, rosterObjectName(PERIOD), { type: 'keepers', roster }, revision);

const requestedKeepers = (state: CoreState, key: string): readonly NodeId[] | undefined => {
  const request = identifier<RequestId>(key);
  requestClaim(state, request, TAWE, key, 10);
  return state.once.ownClaims.get(request)?.keepers.nodes;
};

describe('the keepers of a partner', () => {
  const homes = [homeOf(TAWE, HALLS)];

  it('are in its home zones, at most two per zone, if these have enough keepers', () => {
    const roster = rosterOf(() => 2, homes);
    expect(zonesUsed(roster, TAWE)).toEqual([...HALLS].sort());
    expect(maxPerZone(roster, TAWE)).toBe(2);
    expect(zonesUsed(roster, ENSEMBLE)).toEqual([...ZONES].sort());
  });

  it.each([
    ['has one zone', () => 5, ['neath']],
    ['has two zones', () => 5, ['neath', 'swansea']],
    ['has too few keepers', () => 1, HALLS],
    ['has most keepers in one zone', (zone: string) => (zone === 'neath' ? 9 : 1), HALLS],
    ['has zones without a keeper', () => 2, ['cardiff', 'newport', 'barry']],
  ])(
    'are in all zones if it %s, so that a majority survives the loss of a zone',
    (_, count, zones) => {
      const roster = rosterOf(count, [homeOf(TAWE, zones)]);
      const wide = rosterOf(count, []);
      expect(maxPerZone(roster, TAWE)).toBe(1);
      for (const subject of subjects) {
        const set = chooseKeepers(roster, TAWE, subject);
        expect(set).toEqual(chooseKeepers(wide, TAWE, subject));
      }
    },
  );

  it('are in all zones under a roster without homes', () => {
    const named = rosterOf(() => 2, []);
    const plain: KeeperRoster = { period: named.period, keepers: named.keepers };
    expect(zonesUsed(plain, TAWE)).toEqual([...ZONES].sort());
    for (const subject of subjects) {
      expect(chooseKeepers(plain, TAWE, subject)).toEqual(chooseKeepers(named, TAWE, subject));
    }
  });

  it('are the same at nodes with different members and service statuses', () => {
    const roster = rosterOf(() => 2, homes);
    const far = startNode('bole');
    const near = startNode('neath');
    const uninformed = startNode('yeka');
    applyObject(far, 'status/tawe/desk', statusOf(TAWE, 'desk', ['bole', 'arada', 'kirkos']), 1);
    applyObject(near, 'status/tawe/desk', statusOf(TAWE, 'desk', HALLS), 1);
    for (const zone of HALLS) {
      const identity = identityOf(`${zone}/1`, zone);
      near.membership.members.set(identity.node, createMember(identity, 'alive', 0));
      far.membership.members.set(identity.node, createMember(identity, 'dead', 0));
    }
    [far, near, uninformed].forEach((state) => applyRoster(state, roster, 2));
    for (let number = 0; number < 50; number += 1) {
      const key = createIdempotencyKey(WALL, createRandom(number).next);
      const asked = requestedKeepers(near, key);
      expect(asked).toHaveLength(5);
      expect(zonesOf(asked ?? []).filter((zone) => !HALLS.includes(zone))).toEqual([]);
      expect(requestedKeepers(far, key)).toEqual(asked);
      expect(requestedKeepers(uninformed, key)).toEqual(asked);
    }
  });
});

describe('a roster', () => {
  it('contains the zones of each partner as its writer sees them, sorted', () => {
    const state = startNode('bole');
    applyObject(state, 'status/tawe/b', statusOf(TAWE, 'b', ['swansea', 'neath']), 1);
    applyObject(state, 'status/ensemble/a', statusOf(ENSEMBLE, 'a', ['yeka', 'bole']), 2);
    applyObject(state, 'status/tawe/a', statusOf(TAWE, 'a', ['neath', 'llanelli']), 3);
    const effects = step(state, {
      type: 'timer-fired',
      at: 2_000,
      key: { purpose: 'keepers-roster', subject: '' },
    });
    expect(effects.find(({ type }) => type === 'write-object')).toMatchObject({
      content: {
        roster: {
          homes: [
            homeOf(ENSEMBLE, ['bole', 'yeka']),
            homeOf(TAWE, ['llanelli', 'neath', 'swansea']),
          ],
        },
      },
    });
  });

  it('is not used if it is replaced by one with other homes for the same period', () => {
    const state = startNode('bole');
    const first = rosterOf(() => 2, [homeOf(TAWE, HALLS)]);
    applyRoster(state, first, 1);
    expect(findRoster(state, PERIOD)).toBeDefined();
    applyRoster(state, { ...first, homes: [homeOf(TAWE, ['bole', ...HALLS])] }, 2);
    expect(findRoster(state, PERIOD)).toBeUndefined();
    applyRoster(state, { ...first }, 3);
    expect(findRoster(state, PERIOD)).toBeDefined();
  });

  it('is refused if its homes have the wrong shape', () => {
    const objectOf = (homes: unknown): unknown => ({
      name: rosterObjectName(PERIOD),
      version: 1,
      revision: 1,
      content: { type: 'keepers', roster: { ...rosterOf(() => 1, []), homes } },
    });
    expect(isStoreObject(objectOf([homeOf(TAWE, HALLS)]))).toBe(true);
    expect(isStoreObject(objectOf(undefined))).toBe(true);
    expect(isStoreObject(objectOf([{ partner: TAWE }]))).toBe(false);
    expect(isStoreObject(objectOf('neath'))).toBe(false);
  });
});
