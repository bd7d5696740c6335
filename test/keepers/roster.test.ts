import { describe, expect, it } from 'vitest';
import { rosterObjectName, type KeeperRoster } from '../../src/catalog/keeper-roster.js';
import type { Effect, WriteObject } from '../../src/core/effect.js';
import {
  identifier,
  type NodeId,
  type PartnerId,
  type ZoneName,
} from '../../src/core/identifiers.js';
import { chooseKeepers } from '../../src/core/keepers/choose-keepers.js';
import { findRoster, isNamedProcess } from '../../src/core/keepers/find-roster.js';
import { PERIOD_MS } from '../../src/core/keepers/keeper-timing.js';
import { step } from '../../src/core/reducer.js';
import { createCoreState, type CoreState } from '../../src/core/state.js';

const WALL = 2_000 * PERIOD_MS;
const TAWE = identifier<PartnerId>('tawe');

const startNode = (name: string, incarnation: number): CoreState => {
  const self = {
    node: identifier<NodeId>(name),
    zone: identifier<ZoneName>('bole'),
    region: 'addis',
    address: { host: '127.0.0.1', port: 1 },
    incarnation,
  };
  const state = createCoreState({ self, seeds: [], seed: 1 });
  step(state, { type: 'started', at: 0 });
  return state;
};

const applyRoster = (state: CoreState, roster: KeeperRoster, revision: number): void => {
  step(state, {
    type: 'store-changed',
    at: 0,
    after: 0,
    through: revision,
    objects: [
      {
        name: rosterObjectName(roster.period),
        version: revision,
        revision,
        content: { type: 'keepers', roster },
      },
    ],
  });
};

const rosterOf = (period: number, names: readonly string[], incarnation = WALL): KeeperRoster => ({
  period,
  keepers: names.map((name, index) => ({
    node: identifier<NodeId>(name),
    zone: identifier<ZoneName>(`zone-${index % 3}`),
    incarnation,
  })),
});

const isWrite = (effect: Effect): effect is WriteObject => effect.type === 'write-object';

describe('rosters of keepers', () => {
  it('are written after a settling time, and not again while the write is in progress', () => {
    const state = startNode('bole/1', WALL);
    step(state, { type: 'store-changed', at: 1, after: 0, through: 1, objects: [] });
    const check = (at: number): WriteObject[] =>
      step(state, {
        type: 'timer-fired',
        at,
        key: { purpose: 'keepers-roster', subject: '' },
      }).filter(isWrite);
    expect(check(1_000)).toEqual([]);
    const [write] = check(2_000);
    expect(write).toMatchObject({ name: rosterObjectName(2_000), expectedVersion: 0 });
    expect(check(3_000)).toEqual([]);
    expect(check(8_000)).toHaveLength(1);
  });

  it('name a process by its incarnation, and no earlier or later process of the node', () => {
    const roster = rosterOf(2_000, ['bole/1', 'bole/2'], WALL);
    expect(isNamedProcess(startNode('bole/1', WALL), roster)).toBe(true);
    expect(isNamedProcess(startNode('bole/1', WALL + 1), roster)).toBe(false);
    expect(isNamedProcess(startNode('bole/1', WALL - 1), roster)).toBe(false);
    expect(isNamedProcess(startNode('bole/3', WALL), roster)).toBe(false);
  });

  it('are used if a restored store returns them under another revision', () => {
    const state = startNode('bole/1', WALL);
    applyRoster(state, rosterOf(2_000, ['bole/1']), 5);
    expect(findRoster(state, 2_000)).toBeDefined();
    applyRoster(state, rosterOf(2_000, ['bole/1']), 9);
    expect(findRoster(state, 2_000)?.keepers).toHaveLength(1);
  });

  it('are not used if a second, different one appears for the same period', () => {
    const state = startNode('bole/1', WALL);
    applyRoster(state, rosterOf(2_000, ['bole/1']), 5);
    expect(findRoster(state, 2_000)?.keepers).toHaveLength(1);
    applyRoster(state, rosterOf(2_000, ['bole/2']), 9);
    expect(findRoster(state, 2_000)).toBeUndefined();
  });

  it('give each subject five keepers spread over zones, regardless of the order of the roster', () => {
    const names = Array.from({ length: 12 }, (_, index) => `node-${index}`);
    const roster = rosterOf(1, names);
    const reversed = { ...roster, keepers: [...roster.keepers].reverse() };
    for (let subject = 0; subject < 200; subject += 1) {
      const set = chooseKeepers(roster, TAWE, `key-${subject}`);
      expect(chooseKeepers(reversed, TAWE, `key-${subject}`)).toEqual(set);
      expect(set.nodes).toHaveLength(5);
      expect(set.majority).toBe(3);
      const zones = set.nodes.map((node) => Number(node.slice(5)) % 3);
      for (const zone of [0, 1, 2]) {
        expect(zones.filter((each) => each === zone).length).toBeLessThanOrEqual(2);
      }
    }
    expect(chooseKeepers(rosterOf(1, ['a', 'b']), TAWE, 'key')).toMatchObject({ majority: 2 });
  });
});
