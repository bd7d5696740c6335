/** Lists between watches: they must not revert changes, be published endlessly, or be repeated without a pause. */
import { describe, expect, it } from 'vitest';
import type { GatewayEffect } from '../../src/gateway/effect.js';
import type { ReplicaRecord } from '../../src/gateway/model/replica-record.js';
import type { ReaderUpdate } from '../../src/gateway/readers/reader-update.js';
import { step } from '../../src/gateway/reducer.js';
import { ReaderNetwork, type VirtualNode } from './reader-network.js';
import { configurationOf, replicaOf } from './virtual-store.js';

const BOUND_MS = 3_000;
const SETTLED_MS = 8_000;

/** Time for the pause before a repeated call, two pages of a list and the resulting update, in milliseconds. */
const REREAD_MS = 300;

const nameOf = (index: number): string => `r-${String(index).padStart(3, '0')}`;

const networkOf = (replicas: number, coldMs = 0): ReaderNetwork => {
  const network = new ReaderNetwork();
  network.store.put('configuration', 'main', configurationOf(1));
  for (let index = 0; index < replicas; index += 1) {
    const name = nameOf(index);
    network.store.put('replicas', name, { ...replicaOf(name), coldMs });
  }
  ['bole-0', 'bole-1', 'bole-2'].forEach((name) => network.add(name, 'bole', 1, BOUND_MS));
  network.startAll();
  network.advance(SETTLED_MS);
  return network;
};

const readerOf = (network: ReaderNetwork): VirtualNode => network.find(network.readers()[0] ?? '');

const listsOf = (network: ReaderNetwork): number =>
  network.calls.filter(({ type }) => type === 'list').length;

const publishedUpdates = (effects: readonly GatewayEffect[]): readonly ReaderUpdate[] =>
  effects.flatMap((effect) => (effect.type === 'send-reader-update' ? [effect.news] : []));

/** Identifiers of the replicas that the updates publish as not draining. */
const publishedAsServing = (news: readonly ReaderUpdate[]): readonly string[] =>
  news.flatMap((each) =>
    each.type !== 'status' && each.collection === 'replicas'
      ? each.objects.filter(({ value }) => value?.draining === false).map(({ name }) => name)
      : [],
  );

describe('gateways that follow each other', () => {
  it.each(['lost', 'refused'] as const)(
    'publish a bounded number of updates for two changes of one replica in one answer while the store is %s',
    (how) => {
      const network = networkOf(2);
      const first = readerOf(network);
      if (how === 'lost') {
        network.setStore(first, false);
      } else {
        network.setRefused(first, true);
      }
      network.advance(2 * BOUND_MS);
      let changes = 0;
      network.onUpdate = ({ type }) => {
        changes += Number(type === 'changes');
      };
      network.put('replicas', nameOf(1), replicaOf(nameOf(1), true));
      network.advance(50);
      network.put('replicas', nameOf(0), { ...replicaOf(nameOf(0)), slots: 3 });
      network.put('replicas', nameOf(0), replicaOf(nameOf(0), true));
      network.put('evacuations', 'hall', { zone: 'hall' });
      network.put('evacuations', 'hall', undefined);
      network.advance(10_000);
      expect(changes).toBeLessThan(100);
    },
  );
});

describe('store that fails calls with an answer', () => {
  it('is not listed where it throttles watches', () => {
    const network = networkOf(200);
    network.failsCall = (call, count) =>
      call.type === 'watch' && count % 3 === 0 ? 'throttled' : undefined;
    network.calls.length = 0;
    network.advance(10_000);
    expect(listsOf(network)).toBe(0);
  });

  it('is listed only for the collection that cannot be read', () => {
    const network = networkOf(200);
    network.failsCall = (call) => (call.collection === 'evacuations' ? 'malformed' : undefined);
    network.cutWatches();
    network.advance(REREAD_MS);
    network.calls.length = 0;
    network.advance(10_000);
    const others = network.calls.filter(
      (call) => call.type === 'list' && call.collection !== 'evacuations',
    );
    expect(others).toEqual([]);
  });

  it('is called with growing pauses where the history is gone for each watch', () => {
    const network = networkOf(2);
    network.failsCall = (call) => (call.type === 'watch' ? 'history-gone' : undefined);
    network.cutWatches();
    network.calls.length = 0;
    network.advance(1_000);
    expect(network.calls.length).toBeLessThan(150);
  });
});

describe('list', () => {
  it('makes no warm replica cold', () => {
    const network = networkOf(100, 5_000);
    network.advance(20_000);
    const first = readerOf(network);
    for (const node of network.nodes.filter((each) => each !== first)) {
      network.kill(node);
      network.start(node);
      network.advance(4_000);
    }
    network.advance(10_000);
    network.kill(first);
    network.advance(5_000);
    network.cutWatches();
    network.advance(REREAD_MS);
    for (const { state } of network.nodes.filter(({ alive }) => alive)) {
      const cold = [...state.replicas.all()].filter(({ coldUntil }) => coldUntil > network.now);
      expect(cold).toEqual([]);
    }
  });

  it('removes no replica that a reader publishes between two of its pages', () => {
    const network = networkOf(120);
    const reader = readerOf(network);
    const progress = reader.state.collections.replicas;
    network.cutWatches();
    for (let ms = 0; ms < REREAD_MS && progress.listAfter === undefined; ms += 1) {
      network.advance(1);
    }
    expect(progress.listAfter).toBeDefined();
    const { revision: after = 0 } = progress;
    const added = { name: 'r-0005', gone: false, value: replicaOf('r-0005') };
    network.store.put('replicas', added.name, added.value);
    const peer = { name: 'x', zone: 'bole', address: { host: '10.0.0.9', port: 1 }, capacity: 1 };
    const source = {
      peer,
      requestedAt: network.now,
      lastUpdateAt: network.now,
      isCurrent: true,
      offeredVersion: undefined,
      isIncomparable: false,
    };
    reader.state.reading.sources.set(peer.name, source);
    const { revision } = network.store;
    step(reader.state, {
      type: 'reader-update-received',
      at: network.now,
      reader: peer.name,
      news: { type: 'changes', collection: 'replicas', objects: [added], after, revision },
    });
    for (let ms = 0; ms < REREAD_MS; ms += 1) {
      network.advance(1);
      expect(reader.state.replicas.find('r-0005')?.goneAt).toBeUndefined();
    }
  });

  it('is started again by a gateway that had left it incomplete', () => {
    const network = networkOf(120);
    const first = readerOf(network);
    network.kill(first);
    network.advance(BOUND_MS);
    const second = readerOf(network);
    const progress = second.state.collections.replicas;
    network.advance(20);
    network.start(first);
    network.advance(371);
    network.cutWatches();
    for (let ms = 0; ms < BOUND_MS && second.state.reading.isReading; ms += 1) {
      network.advance(1);
    }
    expect(second.state.reading.isReading).toBe(false);
    expect(progress.listAfter).toBeUndefined();
    network.put('replicas', 'r-0005', replicaOf('r-0005'));
    network.advance(BOUND_MS);
    network.kill(first);
    for (let ms = 0; ms < BOUND_MS; ms += 1) {
      network.advance(1);
      expect(second.state.replicas.find('r-0005')?.goneAt).toBeUndefined();
    }
  });

  it('that is incomplete publishes nothing older than an update received in the meantime', () => {
    const network = networkOf(2);
    const first = readerOf(network);
    network.setStore(first, false);
    network.advance(2 * BOUND_MS);
    const { state } = first;
    const [reader = ''] = state.reading.sources.keys();
    const { revision = 0 } = state.collections.replicas;
    const at = network.now;
    state.collections.replicas.mustList = true;
    const record: ReplicaRecord = { ...replicaOf(nameOf(0)), slots: 3 };
    const drains = { name: record.id, gone: false, value: { ...record, draining: true } };
    const effects = [
      ...step(state, {
        type: 'page-read',
        at,
        page: {
          collection: 'replicas',
          more: true,
          last: record.id,
          revision: revision + 1,
          objects: [{ name: record.id, gone: false, value: record }],
        },
      }),
      ...step(state, {
        type: 'reader-update-received',
        at,
        reader,
        news: {
          type: 'changes',
          collection: 'replicas',
          objects: [drains],
          after: revision,
          revision: revision + 2,
        },
      }),
      ...step(state, {
        type: 'reader-update-received',
        at,
        reader,
        news: {
          type: 'snapshot',
          collection: 'replicas',
          objects: [drains, { name: nameOf(1), gone: false, value: replicaOf(nameOf(1)) }],
          revision: revision + 3,
        },
      }),
    ];
    expect(publishedAsServing(publishedUpdates(effects))).not.toContain(record.id);
  });
});
