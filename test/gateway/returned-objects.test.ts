/** What a copy lacks or brings back, and gateways that know different eras of the store at the same moment. */
import { describe, expect, it } from 'vitest';
import { createRandom } from '../../src/core/random.js';
import type { StateChange } from '../../src/gateway/log/log-event.js';
import type { ReplicaRecord } from '../../src/gateway/model/replica-record.js';
import { step } from '../../src/gateway/reducer.js';
import { ReaderNetwork, type VirtualNode } from './reader-network.js';
import { StoreWriters } from './store-writers.js';
import { configurationOf, replicaOf } from './virtual-store.js';

/** The bound within which a change must be known, in milliseconds. */
const BOUND_MS = 3_000;

/** Enough for a start, and for the lists of gateways to settle. */
const SETTLED_MS = 8_000;

/** Time in which what a copy lacks is written again, and in which entries of replicas that have ended lapse. */
const REWRITE_MS = 2_000;
const LAPSED_MS = 9_000;

const AWAY_MS = 1_000;

const startNetwork = (perZone = 3): { network: ReaderNetwork; writers: StoreWriters } => {
  const network = new ReaderNetwork();
  network.store.era = 1;
  const writers = new StoreWriters(network);
  writers.put('configuration', 'main', configurationOf(1));
  for (let index = 0; index < 12; index += 1) {
    writers.put('replicas', `r-${index}`, replicaOf(`r-${index}`));
  }
  for (const zone of ['bole', 'arada', 'hall']) {
    for (let index = 0; index < perZone; index += 1) {
      network.add(`${zone}-${index}`, zone, 1, BOUND_MS);
    }
  }
  network.startAll();
  network.advance(SETTLED_MS);
  return { network, writers };
};

const goAway = (network: ReaderNetwork): void => {
  network.setStoreAway(true);
  network.cutWatches();
  network.advance(AWAY_MS);
};

/** The store returns from the copy and nothing is written again. */
const returnAlone = (
  network: ReaderNetwork,
  copy: Parameters<ReaderNetwork['returnStore']>[0],
): void => {
  goAway(network);
  network.returnStore(copy);
  network.setStoreAway(false);
};

/** Whether a gateway may send requests to the replica. */
const uses = ({ state }: VirtualNode, id: string): boolean => {
  const replica = state.replicas.find(id);
  return replica !== undefined && replica.goneAt === undefined && !replica.record.draining;
};

const usedBy = ({ nodes }: ReaderNetwork, id: string): number =>
  nodes.filter((node) => uses(node, id)).length;

const linesOf = (network: ReaderNetwork): StateChange[] => {
  const lines: StateChange[] = [];
  network.onLine = (_node, change) => lines.push(change);
  return lines;
};

describe('what the copy lacks', () => {
  it('a replica that came after it is used on until its entry is back', () => {
    const { network, writers } = startNetwork();
    const copy = network.store.copy();
    writers.put('replicas', 'r-new', replicaOf('r-new'));
    network.advance(1_000);
    goAway(network);
    writers.returnStore(copy, createRandom(1));
    for (let passed = 0; passed < LAPSED_MS; passed += 100) {
      network.advance(100);
      expect([passed, usedBy(network, 'r-new')]).toEqual([passed, 9]);
    }
  });

  it('a replica whose entry does not come back is gone after two seconds', () => {
    const { network } = startNetwork();
    const copy = network.store.copy();
    network.put('replicas', 'r-new', replicaOf('r-new'));
    network.advance(1_000);
    returnAlone(network, copy);
    network.advance(1_500);
    expect(usedBy(network, 'r-new')).toBe(9);
    network.advance(REWRITE_MS);
    expect(usedBy(network, 'r-new')).toBe(0);
  });

  it('a zone that was evacuated after it stays so until the order is written again', () => {
    const { network, writers } = startNetwork();
    const copy = network.store.copy();
    writers.put('evacuations', 'hall', { zone: 'hall' });
    network.advance(1_000);
    goAway(network);
    writers.returnStore(copy, createRandom(1));
    for (let passed = 0; passed < LAPSED_MS; passed += 100) {
      network.advance(100);
      const evacuating = network.nodes.filter(({ state }) => state.evacuatedZones.has('hall'));
      expect([passed, evacuating.length]).toEqual([passed, 9]);
    }
  });

  it('entries of gateways are written again, and their number is the same meanwhile', () => {
    const { network } = startNetwork(0);
    const copy = network.store.copy();
    for (const zone of ['bole', 'arada', 'hall']) {
      [0, 1, 2].forEach((index) => network.add(`${zone}-${index}`, zone, 1, BOUND_MS));
    }
    network.startAll();
    network.advance(SETTLED_MS);
    returnAlone(network, copy);
    expect(network.store.names('gateways')).toEqual([]);
    for (let passed = 0; passed < LAPSED_MS; passed += 100) {
      network.advance(100);
      const counts = new Set(network.nodes.map(({ state }) => state.gateways));
      expect([passed, ...counts]).toEqual([passed, 9]);
    }
    expect(network.store.names('gateways').length).toBe(9);
  });

  it('an entry of a gateway that is older is written again, and others keep what they know', () => {
    const { network } = startNetwork();
    const [first] = network.nodes as [VirtualNode];
    const known = network.store.find('gateways', first.name);
    const older = { ...(known as object), address: { host: '10.9.9.9', port: 9 } };
    network.store.put('gateways', first.name, older as never);
    const copy = network.store.copy();
    network.store.put('gateways', first.name, known);
    network.advance(1_000);
    returnAlone(network, copy);
    for (let passed = 0; passed < LAPSED_MS; passed += 100) {
      network.advance(100);
      const hosts = network.nodes.map(({ state }) => state.peers.find(first.name)?.address.host);
      expect([passed, new Set(hosts)]).toEqual([passed, new Set([first.settings.peers.host])]);
    }
    expect(network.store.find('gateways', first.name)).toEqual(known);
  });
});

describe('what the copy brings back', () => {
  it.each(['gone', 'draining'] as const)('a replica that is %s gets nothing', (state) => {
    const { network, writers } = startNetwork();
    const copy = network.store.copy();
    writers.put('replicas', 'r-1', state === 'gone' ? undefined : replicaOf('r-1', true));
    network.advance(6_000);
    goAway(network);
    writers.returnStore(copy, createRandom(1));
    for (let passed = 0; passed < 2 * LAPSED_MS; passed += 100) {
      network.advance(100);
      expect([passed, usedBy(network, 'r-1')]).toEqual([passed, 0]);
    }
  });

  it('a replica whose entry does not lapse is used again: it lives', () => {
    const { network } = startNetwork();
    const copy = network.store.copy();
    network.put('replicas', 'r-1', undefined);
    network.advance(3_000);
    returnAlone(network, copy);
    network.advance(REWRITE_MS);
    expect(usedBy(network, 'r-1')).toBe(0);
    network.advance(LAPSED_MS);
    expect(usedBy(network, 'r-1')).toBe(9);
  });

  it.each([
    ['a later start', 2, 9],
    ['an earlier start', 0, 0],
    ['the same start', 1, 0],
  ])('of a replica that has gone, %s is told from it by its time', (_what, bornAt, users) => {
    const { network } = startNetwork();
    const born = (at: number): ReplicaRecord => ({ ...replicaOf('r-b'), bornAt: at });
    network.put('replicas', 'r-b', born(bornAt));
    const copy = network.store.copy();
    network.put('replicas', 'r-b', born(1));
    network.advance(500);
    network.put('replicas', 'r-b', undefined);
    network.advance(1_000);
    returnAlone(network, copy);
    network.advance(1_500);
    expect(usedBy(network, 'r-b')).toBe(users);
  });

  it('a zone that was reopened after it is not evacuated again', () => {
    const { network, writers } = startNetwork();
    writers.put('evacuations', 'hall', { zone: 'hall' });
    network.advance(1_000);
    const copy = network.store.copy();
    writers.put('evacuations', 'hall', undefined);
    network.advance(3_000);
    goAway(network);
    writers.returnStore(copy, createRandom(1));
    for (let passed = 0; passed < LAPSED_MS; passed += 100) {
      network.advance(100);
      const evacuating = network.nodes.filter(({ state }) => state.evacuatedZones.has('hall'));
      expect([passed, evacuating.length]).toEqual([passed, 0]);
    }
  });
});

describe('gateways that know different eras', () => {
  it('do not go back where a reader that has not noticed tells one that has', () => {
    const { network } = startNetwork();
    const copy = network.store.copy();
    returnAlone(network, copy);
    network.advance(3_000);
    const follower = network.nodes.find(({ state }) => !state.reading.isReading) as VirtualNode;
    const [reader] = [...follower.state.reading.sources.keys()];
    const { era, revision = 0 } = follower.state.collections.replicas;
    expect(era).toBe(2);
    const value = replicaOf('r-1', true);
    const objects = [{ name: 'r-1', gone: false, value }];
    step(follower.state, {
      type: 'reader-told',
      at: network.now,
      reader: reader ?? '',
      news: {
        type: 'changes',
        collection: 'replicas',
        objects,
        after: revision,
        afterEra: 1,
        era: 1,
        revision: revision + 900,
      },
    });
    expect(uses(follower, 'r-1')).toBe(true);
    expect(follower.state.collections.replicas).toMatchObject({ era, revision });
  });

  it('ask again where the changes across a return do not go on from what they know', () => {
    const { network } = startNetwork();
    const follower = network.nodes.find(({ state }) => !state.reading.isReading) as VirtualNode;
    const [reader] = [...follower.state.reading.sources.keys()];
    const { revision = 0 } = follower.state.collections.replicas;
    const effects = step(follower.state, {
      type: 'reader-told',
      at: network.now,
      reader: reader ?? '',
      news: {
        type: 'changes',
        collection: 'replicas',
        objects: [],
        after: revision - 1,
        afterEra: 1,
        era: 2,
        revision: 5,
      },
    });
    expect(effects.map(({ type }) => type)).toContain('follow-reader');
    expect(follower.state.collections.replicas).toMatchObject({ era: 1, revision });
  });

  it('drop an answer of before the return that comes after it, and list', () => {
    const { network } = startNetwork();
    const reader = network.nodes.find(({ state }) => state.reading.isReading) as VirtualNode;
    const copy = network.store.copy();
    returnAlone(network, copy);
    network.advance(3_000);
    const { revision = 0 } = reader.state.collections.replicas;
    step(reader.state, {
      type: 'changes-read',
      at: network.now,
      era: 1,
      changes: {
        collection: 'replicas',
        objects: [{ name: 'r-1', gone: true }],
        revision: revision + 500,
      },
    });
    expect(uses(reader, 'r-1')).toBe(true);
    expect(reader.state.collections.replicas.revision).toBe(revision);
  });

  it('pass over a reader of an earlier build, which tells no era, once they know one', () => {
    const { network } = startNetwork();
    const follower = network.nodes.find(({ state }) => !state.reading.isReading) as VirtualNode;
    const [source] = [...follower.state.reading.sources.values()];
    const { revision = 0 } = follower.state.collections.replicas;
    step(follower.state, {
      type: 'reader-told',
      at: network.now,
      reader: source?.peer.name ?? '',
      news: { type: 'snapshot', collection: 'replicas', objects: [], revision: revision + 900 },
    });
    expect(uses(follower, 'r-1')).toBe(true);
    expect(source?.isIncomparable).toBe(true);
    network.put('replicas', 'r-1', replicaOf('r-1', true));
    network.advance(BOUND_MS);
    expect(uses(follower, 'r-1')).toBe(false);
  });

  it('know within the bound what is written after a second return within seconds', () => {
    const { network, writers } = startNetwork();
    const copies = [network.store.copy()];
    writers.put('configuration', 'main', configurationOf(2));
    network.advance(500);
    copies.push(network.store.copy());
    writers.put('configuration', 'main', configurationOf(3));
    network.advance(500);
    goAway(network);
    writers.returnStore(copies[1] as never, createRandom(1));
    network.advance(700);
    goAway(network);
    writers.returnStore(copies[0] as never, createRandom(2));
    writers.put('configuration', 'main', configurationOf(4));
    network.advance(BOUND_MS);
    expect(network.nodes.map(({ version }) => version)).toEqual(Array<number>(9).fill(4));
    expect(network.nodes.map(({ regressions }) => regressions)).toEqual(Array<number>(9).fill(0));
  });

  it('know it where the store is cut off from some, and slow for others', () => {
    const { network, writers } = startNetwork();
    const copy = network.store.copy();
    writers.put('configuration', 'main', configurationOf(2));
    network.advance(500);
    const [cut] = network.readers();
    network.setStore(network.find(cut ?? ''), false);
    network.nodes.forEach((node, index) => (node.storeMs = index % 2 === 0 ? 300 : 4));
    goAway(network);
    writers.returnStore(copy, createRandom(1));
    network.advance(300);
    writers.put('configuration', 'main', configurationOf(3));
    writers.put('replicas', 'r-1', replicaOf('r-1', true));
    network.advance(BOUND_MS);
    expect(network.nodes.map(({ version }) => version)).toEqual(Array<number>(9).fill(3));
    expect(usedBy(network, 'r-1')).toBe(0);
  });
});

describe('a configuration that the store has lost', () => {
  const startAgain = (network: ReaderNetwork, nodes: readonly VirtualNode[]): void =>
    nodes.forEach((node) => {
      network.kill(node);
      network.start(node);
    });

  it('is in force at a gateway that starts since, beside others that know it', () => {
    const { network } = startNetwork();
    const copy = network.store.copy();
    network.put('configuration', 'main', configurationOf(2));
    network.advance(1_000);
    returnAlone(network, copy);
    network.advance(500);
    const follower = network.nodes.find(({ state }) => !state.reading.isReading) as VirtualNode;
    startAgain(network, [follower]);
    network.advance(4_000);
    expect(network.nodes.map(({ version }) => version)).toEqual(Array<number>(9).fill(2));
  });

  it('is told to a reader that has started since by those that follow it', () => {
    const { network } = startNetwork();
    const copy = network.store.copy();
    network.put('configuration', 'main', configurationOf(2));
    network.advance(1_000);
    returnAlone(network, copy);
    network.advance(500);
    startAgain(
      network,
      network.readers().map((name) => network.find(name)),
    );
    network.advance(4_000);
    expect(network.nodes.map(({ version }) => version)).toEqual(Array<number>(9).fill(2));
  });

  it('is not offered again and again, nor where the store has not returned', () => {
    const { network } = startNetwork();
    const copy = network.store.copy();
    network.put('configuration', 'main', configurationOf(2));
    network.advance(1_000);
    const follower = network.nodes.find(({ state }) => !state.reading.isReading) as VirtualNode;
    const hearsOlder = (): number => {
      const [reader = ''] = [...follower.state.reading.sources.keys()];
      const news = { type: 'status', isCurrent: true, confirmedMsAgo: 1, version: 1 } as const;
      const effects = step(follower.state, { type: 'reader-told', at: network.now, reader, news });
      return effects.filter((effect) => 'configuration' in effect).length;
    };
    expect(hearsOlder()).toBe(0);
    returnAlone(network, copy);
    network.advance(3_000);
    expect([hearsOlder(), hearsOlder()]).toEqual([1, 0]);
  });
});

describe('what a return costs', () => {
  it('no gateway becomes unready, and one line tells both eras and what changed', () => {
    const { network, writers } = startNetwork();
    const copy = network.store.copy();
    writers.put('replicas', 'r-1', undefined);
    writers.put('replicas', 'r-new', replicaOf('r-new'));
    network.advance(1_000);
    const lines = linesOf(network);
    returnAlone(network, copy);
    network.advance(BOUND_MS);
    const returned = lines.filter(({ event }) => event === 'store-returned');
    expect(returned.length).toBe(9);
    for (const line of returned) {
      expect(line).toMatchObject({ era: 2, previous: 1, version: 1 });
      expect(line).toMatchObject({ missing: { replicas: 1 } });
    }
    expect(returned).toContainEqual(expect.objectContaining({ older: { replicas: 1 } }));
    expect(lines.filter(({ event }) => event === 'ready')).toEqual([]);
  });

  it('a few gateways of each zone list, whatever their number, and entries are not written at once', () => {
    const { network } = startNetwork(0);
    const copy = network.store.copy();
    for (let index = 0; index < 90; index += 1) {
      const zone = ['bole', 'arada', 'hall'][index % 3] ?? '';
      network.add(`${zone}-${index}`, zone, 1, BOUND_MS);
    }
    network.startAll();
    network.advance(SETTLED_MS);
    network.calls.length = 0;
    returnAlone(network, copy);
    const registers = (): number => network.calls.filter(({ type }) => type === 'register').length;
    network.advance(150);
    expect(registers()).toBeLessThan(60);
    network.advance(LAPSED_MS);
    const lists = network.calls.filter(({ type }) => type === 'list').length;
    // Three candidates of each of three zones may read while the store is away; four collections, a page or two each.
    expect(lists).toBeLessThanOrEqual(9 * 4 * 2);
    expect(registers()).toBeLessThanOrEqual(2 * 90);
    expect(network.store.names('gateways').length).toBe(90);
  });
});
