/** Guards against requests to a replica whose entry was overwritten with invalid content; other replicas stay in use. */
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { GatewayFixture, until } from './gateway-fixture.js';
import { routeSpec } from './operator-spec.js';
import type { StandInReplica } from './stand-in-replica.js';

let fixture: GatewayFixture;
let replica: StandInReplica;
let otherReplica: StandInReplica;

beforeEach(async () => {
  fixture = await GatewayFixture.create();
  fixture.configure([routeSpec({ path_prefix: '/', service: 'desk' })], ['desk']);
  replica = await fixture.addReplica('spoilt', 'desk');
  otherReplica = await fixture.addReplica('whole', 'desk');
  await fixture.serve();
});

afterEach(async () => {
  await fixture.stop();
});

const entryWith = (fields: Readonly<Record<string, unknown>>): unknown => ({
  ...(replica.entry('desk', 'bole') as object),
  ...fields,
});

const entryWithout = (name: string): unknown => {
  const entry = { ...(replica.entry('desk', 'bole') as Record<string, unknown>) };
  return Object.fromEntries(Object.entries(entry).filter(([key]) => key !== name));
};

const REQUIRED = ['service', 'address', 'zone', 'slots', 'state', 'cold_left_ms'] as const;

const INVALID_ENTRIES: readonly (readonly [string, () => unknown])[] = [
  ...REQUIRED.map((name) => [`without ${name}`, () => entryWithout(name)] as const),
  ['service of another type', () => entryWith({ service: 7 })],
  ['address without a port', () => entryWith({ address: 'nowhere' })],
  ['zone of another type', () => entryWith({ zone: null })],
  ['slots of another type', () => entryWith({ slots: 'many' })],
  ['slots that are not a whole number', () => entryWith({ slots: 1.5 })],
  ['an unknown state', () => entryWith({ state: 'sleeping' })],
  ['cold_left_ms of another type', () => entryWith({ cold_left_ms: 'long' })],
  ['born that is not a whole number', () => entryWith({ born: 1.5 })],
  ['born of another type', () => entryWith({ born: 'today' })],
  ['no fields', () => ({})],
  ['a list', () => [1, 2]],
  ['a string', () => '\u0000\u0001'],
  ['nothing', () => null],
];

const REQUEST_COUNT = 12;

/** Sends requests that all succeed; returns how many of them arrived at the replica. */
const sendRequests = async (): Promise<number> => {
  const before = replica.arrived.length;
  const ids = Array.from({ length: REQUEST_COUNT }, (_, index) => `r-${before}-${index}`);
  const answers = await Promise.all(ids.map((id) => fixture.request({ id, path: '/x' })));
  expect(answers.map(({ status }) => status)).toEqual(ids.map(() => 200));
  return replica.arrived.length - before;
};

describe('a replica with an invalid entry', () => {
  it.each(INVALID_ENTRIES)(
    'gets no requests until the entry is valid again: %s',
    async (_name, makeEntry) => {
      expect(await sendRequests()).toBeGreaterThan(0);
      fixture.store.put('servers', 'spoilt', makeEntry());
      const isLogged = (): boolean =>
        fixture.log.lines.some(({ change }) => change.event === 'object-unreadable');
      await until(isLogged, 'it is logged');
      expect(await sendRequests()).toBe(0);
      expect(otherReplica.arrived.length).toBeGreaterThanOrEqual(REQUEST_COUNT);
      fixture.store.put('servers', 'spoilt', replica.entry('desk', 'bole'));
      await delay(100);
      const { replicas } = fixture.gateway.state;
      expect(replicas.find('spoilt')?.isUnreadable).toBe(false);
      fixture.store.put('servers', 'whole', otherReplica.entry('desk', 'bole', 'draining'));
      await until(() => replicas.find('whole')?.record.draining === true, 'the drain is known');
      expect(await sendRequests()).toBe(REQUEST_COUNT);
    },
  );
});
