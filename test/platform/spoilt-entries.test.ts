/** Entries of replicas that another writer has overwritten: they name no replica to use, and the others hold. */
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { GatewayFixture, until } from './gateway-fixture.js';
import { routeSpec } from './operator-spec.js';
import type { StandInReplica } from './stand-in-replica.js';

let fixture: GatewayFixture;
let spoilt: StandInReplica;
let whole: StandInReplica;

beforeEach(async () => {
  fixture = await GatewayFixture.create();
  fixture.configure([routeSpec({ path_prefix: '/', service: 'desk' })], ['desk']);
  spoilt = await fixture.addReplica('spoilt', 'desk');
  whole = await fixture.addReplica('whole', 'desk');
  await fixture.serve();
});

afterEach(async () => {
  await fixture.stop();
});

const entryWith = (fields: Readonly<Record<string, unknown>>): unknown => ({
  ...(spoilt.entry('desk', 'bole') as object),
  ...fields,
});

const entryWithout = (name: string): unknown => {
  const entry = { ...(spoilt.entry('desk', 'bole') as Record<string, unknown>) };
  return Object.fromEntries(Object.entries(entry).filter(([key]) => key !== name));
};

const REQUIRED = ['service', 'address', 'zone', 'slots', 'state', 'cold_left_ms'] as const;

const KINDS: readonly (readonly [string, () => unknown])[] = [
  ...REQUIRED.map((name) => [`without ${name}`, () => entryWithout(name)] as const),
  ['service of another type', () => entryWith({ service: 7 })],
  ['address without a port', () => entryWith({ address: 'nowhere' })],
  ['zone of another type', () => entryWith({ zone: null })],
  ['slots of another type', () => entryWith({ slots: 'many' })],
  ['slots that are no whole number', () => entryWith({ slots: 1.5 })],
  ['a state that is not known', () => entryWith({ state: 'sleeping' })],
  ['cold_left_ms of another type', () => entryWith({ cold_left_ms: 'long' })],
  ['born that is no whole number', () => entryWith({ born: 1.5 })],
  ['born of another type', () => entryWith({ born: 'today' })],
  ['no fields', () => ({})],
  ['a list', () => [1, 2]],
  ['a text', () => '\u0000\u0001'],
  ['nothing', () => null],
];

const askMany = async (): Promise<number> => {
  const before = spoilt.arrived.length;
  const ids = Array.from({ length: 12 }, (_, index) => `r-${before}-${index}`);
  const answers = await Promise.all(ids.map((id) => fixture.request({ id, path: '/x' })));
  expect(answers.map(({ status }) => status)).toEqual(ids.map(() => 200));
  return spoilt.arrived.length - before;
};

describe('an entry of a replica that cannot be read', () => {
  it.each(KINDS)('names no replica to use: %s', async (_name, spoil) => {
    expect(await askMany()).toBeGreaterThan(0);
    fixture.store.put('servers', 'spoilt', spoil());
    const isLogged = (): boolean =>
      fixture.log.lines.some(({ change }) => change.event === 'object-unreadable');
    await until(isLogged, 'it is logged');
    expect(await askMany()).toBe(0);
    expect(whole.arrived.length).toBeGreaterThan(11);
    fixture.store.put('servers', 'spoilt', spoilt.entry('desk', 'bole'));
    await delay(100);
    expect(await askMany()).toBeGreaterThan(0);
  });
});
