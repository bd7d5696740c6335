/** The confirming read of the store over a socket. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { platformProtocol } from '../../platform/protocol.js';
import type { GatewayEvent } from '../../src/gateway/event.js';
import { StoreClient } from '../../src/gateway/runtime/store-client.js';
import { until } from './gateway-fixture.js';
import { configurationSpec, routeSpec, tenantSpec } from './operator-spec.js';
import { StandInStore } from './stand-in-store.js';

let store: StandInStore;
let client: StoreClient;
let events: GatewayEvent[];
let now: number;

beforeEach(async () => {
  store = await StandInStore.start();
  events = [];
  now = 100;
  client = new StoreClient({
    address: { host: '127.0.0.1', port: store.port },
    format: platformProtocol.store,
    eraHeader: platformProtocol.headers.storeEra,
    clock: { now: () => now },
    sink: { emit: (event) => void events.push(event) },
  });
});

afterEach(async () => {
  client.destroy();
  await store.stop();
});

/** Makes a confirming read at 100 ms on the clock that ends at 107 ms. */
const read = async (): Promise<GatewayEvent | undefined> => {
  client.call({ type: 'confirm', timeoutMs: 700 });
  now = 107;
  await until(() => events.length > 0, 'the read ends');
  return events[0];
};

describe('a confirming read', () => {
  it('gives the time at which it was sent, and the version, revision and era', async () => {
    store.era = 3;
    store.put('config', 'main', { version: 12, routes: 'not decoded' });
    store.put('config', 'other', { version: 99 });
    expect(await read()).toEqual({
      type: 'confirmation-ended',
      at: 107,
      sentAt: 100,
      answered: true,
      era: 3,
      shown: { version: 12, writtenAt: 2, revision: 3 },
    });
  });

  it('identifies the keys, also when they change under the same version (failure: a restored store)', async () => {
    const routes = [routeSpec({ path_prefix: '/', service: 'desk' })];
    const shownFor = async (key: string): Promise<unknown> => {
      events = [];
      const tenants = [tenantSpec('acme', [key])];
      store.put('config', 'main', configurationSpec(12, routes, ['desk'], 8, {}, tenants));
      const event = await read();
      return event?.type === 'confirmation-ended' ? event.shown?.keysHash : undefined;
    };
    const first = await shownFor('one');
    expect(first).toEqual(expect.any(Number));
    expect(await shownFor('two')).not.toBe(first);
    expect(await shownFor('one')).toBe(first);
  });

  it('names the revision of an unreadable configuration in the same way as a watch does', () => {
    const object = { meta: { name: 'main', revision: 8 }, spec: { version: 4, routes: 'none' } };
    const watch = { type: 'watch', collection: 'configuration', revision: 7 } as const;
    const changes = platformProtocol.store
      .readChanges(
        { ...watch, waitMs: 1, timeoutMs: 1 },
        JSON.stringify({ events: [{ object }], at: 9 }),
      )
      .toMaybe()
      .extract();
    expect(changes?.unreadableSince).toBe(8);
    const shown = platformProtocol.store
      .readConfirmation(JSON.stringify({ items: [object], at: 9 }))
      .toMaybe()
      .extract();
    expect(shown).toEqual({ version: 4, writtenAt: 8, revision: 9 });
  });

  it('allows no stale copy', () => {
    const request = platformProtocol.store.formatCall({ type: 'confirm', timeoutMs: 700 });
    expect(request).toEqual({ method: 'GET', path: '/v1/objects/config' });
  });

  it('shows no version where the store has no configuration, or one without a version', async () => {
    store.put('config', 'main', { routes: [] });
    expect(await read()).toMatchObject({ answered: true, shown: { revision: 2 } });
    expect(events[0]).not.toHaveProperty('shown.version');
  });

  it('is not answered where the store refuses it', async () => {
    store.mode = 'throttling';
    expect(await read()).toMatchObject({ answered: false, sentAt: 100 });
    expect(events[0]).not.toHaveProperty('shown');
  });
});
