import { describe, expect, it } from 'vitest';
import type { GatewayEffect } from '../../src/gateway/effect.js';
import type { ReaderUpdate } from '../../src/gateway/readers/reader-update.js';
import { step } from '../../src/gateway/reducer.js';
import { ReaderNetwork, type VirtualNode } from './reader-network.js';
import { configurationOf, replicaOf } from './virtual-store.js';

/** The bound within which a change must be known, in milliseconds. */
const BOUND_MS = 3_000;

/** Time for a start, and for the lists of gateways to settle, in milliseconds. */
const SETTLED_MS = 8_000;

const ZONES = ['bole', 'arada', 'hall'];

/** Creates and starts `perZone` gateways in each of three zones, over a store with a configuration and replicas. */
const networkOf = (perZone = 5): ReaderNetwork => {
  const network = new ReaderNetwork();
  network.store.put('configuration', 'main', configurationOf(1));
  for (let index = 0; index < 60; index += 1) {
    network.store.put('replicas', `r-${String(index).padStart(2, '0')}`, replicaOf(`r-${index}`));
  }
  for (const zone of ZONES) {
    for (let index = 0; index < perZone; index += 1) {
      network.add(`${zone}-${index}`, zone, 1, BOUND_MS);
    }
  }
  network.startAll();
  network.advance(SETTLED_MS);
  return network;
};

const versionsOf = (network: ReaderNetwork): readonly number[] => [
  ...new Set(network.nodes.filter(({ alive }) => alive).map(({ version }) => version)),
];

/** The reader of a zone. */
const readerOf = (network: ReaderNetwork, zone: string): VirtualNode => {
  const [name] = network.readers().filter((each) => each.startsWith(zone));
  return network.find(name ?? '');
};

/** Writes another version of the configuration to the store. */
const configure = (network: ReaderNetwork, version: number): void =>
  network.put('configuration', 'main', configurationOf(version));

const storeCalls = (network: ReaderNetwork, type: string): number =>
  network.calls.filter((call) => call.type === type).length;

describe('readers of the store', () => {
  it('are one per zone, and all other gateways learn changes from them', () => {
    const network = networkOf();
    expect(network.readers()).toHaveLength(ZONES.length);
    configure(network, 2);
    network.advance(BOUND_MS);
    expect(versionsOf(network)).toEqual([2]);
  });

  it('make a number of store calls independent of the gateways per zone', () => {
    const watchesOf = (perZone: number): number => {
      const network = networkOf(perZone);
      network.calls.length = 0;
      for (let version = 2; version < 8; version += 1) {
        configure(network, version);
        network.advance(2_000);
      }
      expect(versionsOf(network)).toEqual([7]);
      return storeCalls(network, 'watch');
    };
    expect(watchesOf(9)).toBe(watchesOf(3));
  });

  it('are replaced when they are killed', () => {
    const network = networkOf();
    network.kill(readerOf(network, 'bole'));
    configure(network, 2);
    network.advance(BOUND_MS);
    expect(versionsOf(network)).toEqual([2]);
  });

  it('are replaced one after the other, until the last gateway reads for itself', () => {
    const network = networkOf(4);
    for (let version = 2; version < 5; version += 1) {
      network.kill(readerOf(network, 'bole'));
      network.advance(200);
      configure(network, version);
      network.advance(BOUND_MS);
      expect(versionsOf(network)).toEqual([version]);
    }
  });

  it('are replaced when they lose the store, and are one per zone after they reach it again', () => {
    const network = networkOf();
    const reader = readerOf(network, 'arada');
    network.setStore(reader, false);
    configure(network, 2);
    network.advance(BOUND_MS);
    expect(versionsOf(network)).toEqual([2]);
    network.setStore(reader, true);
    network.advance(BOUND_MS);
    expect(network.readers()).toHaveLength(ZONES.length);
    configure(network, 3);
    network.advance(BOUND_MS);
    expect(versionsOf(network)).toEqual([3]);
  });

  it('are replaced when the store refuses their watches but answers their probes', () => {
    const network = networkOf();
    const reader = readerOf(network, 'bole');
    network.setRefused(reader, true);
    network.advance(1_000);
    configure(network, 2);
    network.advance(BOUND_MS);
    expect(versionsOf(network)).toEqual([2]);
    network.setRefused(reader, false);
    network.advance(BOUND_MS);
    expect(network.readers()).toHaveLength(ZONES.length);
  });

  it('are replaced for followers that receive nothing from them', () => {
    const network = networkOf();
    const reader = readerOf(network, 'hall');
    const others = network.nodes.filter((node) => node !== reader);
    others.forEach((other) => network.setCut(reader, other, true));
    configure(network, 2);
    network.advance(BOUND_MS);
    expect(versionsOf(network)).toEqual([2]);
  });

  it('are gateways of other zones where a whole zone has lost the store', () => {
    const network = networkOf(3);
    network.nodes
      .filter(({ settings }) => settings.zone === 'bole')
      .forEach((node) => network.setStore(node, false));
    network.advance(BOUND_MS);
    configure(network, 2);
    network.advance(BOUND_MS);
    expect(versionsOf(network)).toEqual([2]);
  });

  it('send a follower the changes that it missed while it was cut off', () => {
    const network = networkOf();
    const reader = readerOf(network, 'bole');
    const isolated = network.nodes.find(
      (node) => node !== reader && node.settings.zone === 'bole',
    ) as VirtualNode;
    network.setCut(reader, isolated, true);
    network.put('replicas', 'r-07', replicaOf('r-7', true));
    network.advance(400);
    network.setCut(reader, isolated, false);
    network.put('replicas', 'r-08', undefined);
    network.advance(BOUND_MS);
    expect(isolated.state.replicas.find('r-7')?.record.draining).toBe(true);
  });

  it('do not revert a change that a gateway has read', () => {
    const network = networkOf();
    network.put('replicas', 'r-07', replicaOf('r-7', true));
    network.advance(BOUND_MS);
    network.kill(readerOf(network, 'bole'));
    network.kill(readerOf(network, 'arada'));
    network.advance(BOUND_MS);
    const draining = network.nodes
      .filter(({ alive }) => alive)
      .map(({ state }) => state.replicas.find('r-7')?.record.draining);
    expect(new Set(draining)).toEqual(new Set([true]));
  });

  it('remain few when all gateways lose the store and reach it again', () => {
    const network = networkOf();
    network.nodes.forEach((node) => network.setStore(node, false));
    network.advance(5_000);
    network.calls.length = 0;
    network.nodes.forEach((node) => network.setStore(node, true));
    configure(network, 2);
    network.advance(BOUND_MS);
    expect(versionsOf(network)).toEqual([2]);
    expect(network.readers()).toHaveLength(ZONES.length);
    const followed = storeCalls(network, 'watch') + storeCalls(network, 'list');
    expect(followed).toBeLessThanOrEqual(5 * ZONES.length * 3);
  });
});

describe('updates of a reader', () => {
  it('that are older than the known position change nothing', () => {
    const network = networkOf();
    const follower = network.nodes.find(
      ({ state }) => !state.reading.isReading && state.reading.sources.size > 0,
    ) as VirtualNode;
    const [reader] = [...follower.state.reading.sources.keys()];
    const { revision = 0 } = follower.state.collections.replicas;
    const objects = [{ name: 'r-07', gone: false, value: replicaOf('r-7', true) }];
    const receive = (
      news: Extract<ReaderUpdate, { type: 'changes' | 'snapshot' }>,
    ): readonly GatewayEffect[] =>
      step(follower.state, {
        type: 'reader-update-received',
        at: network.now,
        reader: reader ?? '',
        news,
      });
    const collection = 'replicas';
    receive({ type: 'changes', collection, objects, after: revision, revision: revision + 5 });
    const older = [{ name: 'r-07', gone: false, value: replicaOf('r-7') }];
    receive({
      type: 'changes',
      collection,
      objects: older,
      after: revision,
      revision: revision + 2,
    });
    receive({ type: 'snapshot', collection, objects: older, revision: revision + 2 });
    expect(follower.state.replicas.find('r-7')?.record.draining).toBe(true);
    const effects = receive({
      type: 'changes',
      collection,
      objects: older,
      after: revision + 6,
      revision: revision + 7,
    });
    expect(effects.map(({ type }) => type)).toContain('follow-reader');
  });
});

describe('gateway that starts', () => {
  it('while the store is down learns everything from the seeds of its settings', () => {
    const network = networkOf();
    const late = network.add('bole-late', 'bole', 1, BOUND_MS);
    network.nodes.forEach((node) => network.setStore(node, false));
    network.advance(3_000);
    network.start(late);
    network.advance(BOUND_MS);
    expect(late.version).toBe(1);
    expect(late.state.ready).toBe(true);
  });

  it('is counted by all others', () => {
    const network = networkOf();
    network.start(network.add('bole-late', 'bole', 1, BOUND_MS));
    network.advance(BOUND_MS);
    expect(new Set(network.nodes.map(({ state }) => state.gateways))).toEqual(new Set([16]));
  });

  it('together with all others serves again within a second', () => {
    const network = networkOf();
    network.nodes.forEach((node) => network.kill(node));
    network.advance(1_000);
    network.startAll();
    network.advance(1_000);
    expect(network.nodes.every(({ state }) => state.ready)).toBe(true);
    network.advance(SETTLED_MS);
    expect(network.readers()).toHaveLength(ZONES.length);
  });
});

describe('lists, watches and updates', () => {
  it('miss no change while the pages of a list are read', () => {
    const network = new ReaderNetwork();
    network.store.put('configuration', 'main', configurationOf(1));
    for (let index = 0; index < 200; index += 1) {
      const name = `r-${String(index).padStart(3, '0')}`;
      network.store.put('replicas', name, replicaOf(name));
    }
    const alone = network.add('bole-0', 'bole', 1, BOUND_MS);
    network.start(alone);
    while (!alone.state.reading.isReading) {
      network.advance(1);
    }
    network.advance(6);
    network.put('replicas', 'r-000', replicaOf('r-000', true));
    network.advance(2_000);
    expect(alone.state.replicas.find('r-000')?.record.draining).toBe(true);
  });

  it('bring a change within the bound though the connections of all watches are silent', () => {
    const network = networkOf();
    network.silenceWatches();
    configure(network, 2);
    network.advance(BOUND_MS);
    expect(versionsOf(network)).toEqual([2]);
  });

  it('include evacuated zones, also for gateways that start in the meantime', () => {
    const network = networkOf();
    const evacuated = (): readonly string[] => [
      ...new Set(network.nodes.map(({ state }) => [...state.evacuatedZones].join())),
    ];
    network.put('evacuations', 'hall', { zone: 'hall' });
    network.advance(BOUND_MS / 3);
    expect(evacuated()).toEqual(['hall']);
    const late = network.find('bole-4');
    network.kill(late);
    network.start(late);
    network.advance(100);
    expect(evacuated()).toEqual(['hall']);
    network.put('evacuations', 'hall', undefined);
    network.advance(BOUND_MS / 3);
    expect(evacuated()).toEqual(['']);
  });

  it('bring an evacuation to all gateways though a reader loses the store just before', () => {
    const network = networkOf();
    const reader = readerOf(network, 'arada');
    network.setStore(reader, false);
    network.put('evacuations', 'bole', { zone: 'bole' });
    network.advance(BOUND_MS);
    expect(network.nodes.every(({ state }) => state.evacuatedZones.has('bole'))).toBe(true);
  });
});
