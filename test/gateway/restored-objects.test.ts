/** Objects that a backup lacks or brings back, and gateways that know different eras of the store at the same time. */
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

/** Time for a start, and for the lists of gateways to settle, in milliseconds. */
const SETTLED_MS = 8_000;

/**
 * Times in which objects that a backup lacks are written again, and entries of dead replicas expire, in milliseconds.
 */
const REWRITE_MS = 2_000;
const EXPIRY_MS = 9_000;

const OUTAGE_MS = 1_000;

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

const takeStoreDown = (network: ReaderNetwork): void => {
  network.setStoreDown(true);
  network.cutWatches();
  network.advance(OUTAGE_MS);
};

/** Takes the store down and restores it from the backup; nothing is written again. */
const restoreWithoutRewrites = (
  network: ReaderNetwork,
  backup: Parameters<ReaderNetwork['restoreStore']>[0],
): void => {
  takeStoreDown(network);
  network.restoreStore(backup);
  network.setStoreDown(false);
};

/** Whether a gateway may send requests to the replica. */
const uses = ({ state }: VirtualNode, id: string): boolean => {
  const replica = state.replicas.find(id);
  return replica !== undefined && replica.goneAt === undefined && !replica.record.draining;
};

const usedBy = ({ nodes }: ReaderNetwork, id: string): number =>
  nodes.filter((node) => uses(node, id)).length;

const collectLogChanges = (network: ReaderNetwork): StateChange[] => {
  const lines: StateChange[] = [];
  network.onLog = (_node, change) => lines.push(change);
  return lines;
};

describe('objects that the backup lacks', () => {
  it('a replica newer than the backup remains in use until its entry is written again', () => {
    const { network, writers } = startNetwork();
    const backup = network.store.backup();
    writers.put('replicas', 'r-new', replicaOf('r-new'));
    network.advance(1_000);
    takeStoreDown(network);
    writers.restoreStore(backup, createRandom(1));
    for (let passed = 0; passed < EXPIRY_MS; passed += 100) {
      network.advance(100);
      expect([passed, usedBy(network, 'r-new')]).toEqual([passed, 9]);
    }
  });

  it('a replica whose entry is not written again is gone after two seconds', () => {
    const { network } = startNetwork();
    const backup = network.store.backup();
    network.put('replicas', 'r-new', replicaOf('r-new'));
    network.advance(1_000);
    restoreWithoutRewrites(network, backup);
    network.advance(1_500);
    expect(usedBy(network, 'r-new')).toBe(9);
    network.advance(REWRITE_MS);
    expect(usedBy(network, 'r-new')).toBe(0);
  });

  it('a zone evacuated after the backup remains evacuated until its entry is written again', () => {
    const { network, writers } = startNetwork();
    const backup = network.store.backup();
    writers.put('evacuations', 'hall', { zone: 'hall' });
    network.advance(1_000);
    takeStoreDown(network);
    writers.restoreStore(backup, createRandom(1));
    for (let passed = 0; passed < EXPIRY_MS; passed += 100) {
      network.advance(100);
      const evacuating = network.nodes.filter(({ state }) => state.evacuatedZones.has('hall'));
      expect([passed, evacuating.length]).toEqual([passed, 9]);
    }
  });

  it('gateways write their entries again, and their count does not change in the meantime', () => {
    const { network } = startNetwork(0);
    const backup = network.store.backup();
    for (const zone of ['bole', 'arada', 'hall']) {
      [0, 1, 2].forEach((index) => network.add(`${zone}-${index}`, zone, 1, BOUND_MS));
    }
    network.startAll();
    network.advance(SETTLED_MS);
    restoreWithoutRewrites(network, backup);
    expect(network.store.names('gateways')).toEqual([]);
    for (let passed = 0; passed < EXPIRY_MS; passed += 100) {
      network.advance(100);
      const counts = new Set(network.nodes.map(({ state }) => state.gateways));
      expect([passed, ...counts]).toEqual([passed, 9]);
    }
    expect(network.store.names('gateways').length).toBe(9);
  });

  it('a gateway whose entry is older writes it again, and others keep the newer one', () => {
    const { network } = startNetwork();
    const [first] = network.nodes as [VirtualNode];
    const known = network.store.find('gateways', first.name);
    const older = { ...(known as object), address: { host: '10.9.9.9', port: 9 } };
    network.store.put('gateways', first.name, older as never);
    const backup = network.store.backup();
    network.store.put('gateways', first.name, known);
    network.advance(1_000);
    restoreWithoutRewrites(network, backup);
    for (let passed = 0; passed < EXPIRY_MS; passed += 100) {
      network.advance(100);
      const hosts = network.nodes.map(({ state }) => state.peers.find(first.name)?.address.host);
      expect([passed, new Set(hosts)]).toEqual([passed, new Set([first.settings.peers.host])]);
    }
    expect(network.store.find('gateways', first.name)).toEqual(known);
  });
});

describe('objects that the backup brings back', () => {
  it.each(['gone', 'draining'] as const)('a replica that is %s gets no requests', (state) => {
    const { network, writers } = startNetwork();
    const backup = network.store.backup();
    writers.put('replicas', 'r-1', state === 'gone' ? undefined : replicaOf('r-1', true));
    network.advance(6_000);
    takeStoreDown(network);
    writers.restoreStore(backup, createRandom(1));
    for (let passed = 0; passed < 2 * EXPIRY_MS; passed += 100) {
      network.advance(100);
      expect([passed, usedBy(network, 'r-1')]).toEqual([passed, 0]);
    }
  });

  it('a replica whose entry does not expire is alive and used again', () => {
    const { network } = startNetwork();
    const backup = network.store.backup();
    network.put('replicas', 'r-1', undefined);
    network.advance(3_000);
    restoreWithoutRewrites(network, backup);
    network.advance(REWRITE_MS);
    expect(usedBy(network, 'r-1')).toBe(0);
    network.advance(EXPIRY_MS);
    expect(usedBy(network, 'r-1')).toBe(9);
  });

  it.each([
    ['a later start', 2, 9],
    ['an earlier start', 0, 0],
    ['the same start', 1, 0],
  ])(
    'a replica that has gone, listed with %s, is distinguished by its start time',
    (_what, bornAt, users) => {
      const { network } = startNetwork();
      const startedAt = (at: number): ReplicaRecord => ({ ...replicaOf('r-b'), bornAt: at });
      network.put('replicas', 'r-b', startedAt(bornAt));
      const backup = network.store.backup();
      network.put('replicas', 'r-b', startedAt(1));
      network.advance(500);
      network.put('replicas', 'r-b', undefined);
      network.advance(1_000);
      restoreWithoutRewrites(network, backup);
      network.advance(1_500);
      expect(usedBy(network, 'r-b')).toBe(users);
    },
  );

  it('a zone reopened after the backup is not evacuated again', () => {
    const { network, writers } = startNetwork();
    writers.put('evacuations', 'hall', { zone: 'hall' });
    network.advance(1_000);
    const backup = network.store.backup();
    writers.put('evacuations', 'hall', undefined);
    network.advance(3_000);
    takeStoreDown(network);
    writers.restoreStore(backup, createRandom(1));
    for (let passed = 0; passed < EXPIRY_MS; passed += 100) {
      network.advance(100);
      const evacuating = network.nodes.filter(({ state }) => state.evacuatedZones.has('hall'));
      expect([passed, evacuating.length]).toEqual([passed, 0]);
    }
  });
});

describe('gateways that know different eras', () => {
  it('discard changes of an earlier era from a reader that has not noticed the restore', () => {
    const { network } = startNetwork();
    const backup = network.store.backup();
    restoreWithoutRewrites(network, backup);
    network.advance(3_000);
    const follower = network.nodes.find(({ state }) => !state.reading.isReading) as VirtualNode;
    const [reader] = [...follower.state.reading.sources.keys()];
    const { era, revision = 0 } = follower.state.collections.replicas;
    expect(era).toBe(2);
    const value = replicaOf('r-1', true);
    const objects = [{ name: 'r-1', gone: false, value }];
    step(follower.state, {
      type: 'reader-update-received',
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

  it('request a snapshot where changes across a restore do not continue from their position', () => {
    const { network } = startNetwork();
    const follower = network.nodes.find(({ state }) => !state.reading.isReading) as VirtualNode;
    const [reader] = [...follower.state.reading.sources.keys()];
    const { revision = 0 } = follower.state.collections.replicas;
    const effects = step(follower.state, {
      type: 'reader-update-received',
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

  it('discard an answer from before the restore that arrives after it', () => {
    const { network } = startNetwork();
    const reader = network.nodes.find(({ state }) => state.reading.isReading) as VirtualNode;
    const backup = network.store.backup();
    restoreWithoutRewrites(network, backup);
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

  it('replace a reader of an earlier build, which names no era, once they know one', () => {
    const { network } = startNetwork();
    const follower = network.nodes.find(({ state }) => !state.reading.isReading) as VirtualNode;
    const [source] = [...follower.state.reading.sources.values()];
    const { revision = 0 } = follower.state.collections.replicas;
    step(follower.state, {
      type: 'reader-update-received',
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

  it('know changes within the bound after a second restore within seconds', () => {
    const { network, writers } = startNetwork();
    const backups = [network.store.backup()];
    writers.put('configuration', 'main', configurationOf(2));
    network.advance(500);
    backups.push(network.store.backup());
    writers.put('configuration', 'main', configurationOf(3));
    network.advance(500);
    takeStoreDown(network);
    writers.restoreStore(backups[1] as never, createRandom(1));
    network.advance(700);
    takeStoreDown(network);
    writers.restoreStore(backups[0] as never, createRandom(2));
    writers.put('configuration', 'main', configurationOf(4));
    network.advance(BOUND_MS);
    expect(network.nodes.map(({ version }) => version)).toEqual(Array<number>(9).fill(4));
    expect(network.nodes.map(({ regressions }) => regressions)).toEqual(Array<number>(9).fill(0));
  });

  it('know changes within the bound where some cannot reach the store and it is slow for others', () => {
    const { network, writers } = startNetwork();
    const backup = network.store.backup();
    writers.put('configuration', 'main', configurationOf(2));
    network.advance(500);
    const [cut] = network.readers();
    network.setStore(network.find(cut ?? ''), false);
    network.nodes.forEach((node, index) => (node.storeMs = index % 2 === 0 ? 300 : 4));
    takeStoreDown(network);
    writers.restoreStore(backup, createRandom(1));
    network.advance(300);
    writers.put('configuration', 'main', configurationOf(3));
    writers.put('replicas', 'r-1', replicaOf('r-1', true));
    network.advance(BOUND_MS);
    expect(network.nodes.map(({ version }) => version)).toEqual(Array<number>(9).fill(3));
    expect(usedBy(network, 'r-1')).toBe(0);
  });
});

describe('configuration that the store has lost', () => {
  const startAgain = (network: ReaderNetwork, nodes: readonly VirtualNode[]): void =>
    nodes.forEach((node) => {
      network.kill(node);
      network.start(node);
    });

  it('is in force at a gateway that has restarted since, beside others that know it', () => {
    const { network } = startNetwork();
    const backup = network.store.backup();
    network.put('configuration', 'main', configurationOf(2));
    network.advance(1_000);
    restoreWithoutRewrites(network, backup);
    network.advance(500);
    const follower = network.nodes.find(({ state }) => !state.reading.isReading) as VirtualNode;
    startAgain(network, [follower]);
    network.advance(4_000);
    expect(network.nodes.map(({ version }) => version)).toEqual(Array<number>(9).fill(2));
  });

  it('is offered to a restarted reader by its followers', () => {
    const { network } = startNetwork();
    const backup = network.store.backup();
    network.put('configuration', 'main', configurationOf(2));
    network.advance(1_000);
    restoreWithoutRewrites(network, backup);
    network.advance(500);
    startAgain(
      network,
      network.readers().map((name) => network.find(name)),
    );
    network.advance(4_000);
    expect(network.nodes.map(({ version }) => version)).toEqual(Array<number>(9).fill(2));
  });

  it('is offered only once, and only after a restore', () => {
    const { network } = startNetwork();
    const backup = network.store.backup();
    network.put('configuration', 'main', configurationOf(2));
    network.advance(1_000);
    const follower = network.nodes.find(({ state }) => !state.reading.isReading) as VirtualNode;
    const receiveOlderStatus = (): number => {
      const [reader = ''] = [...follower.state.reading.sources.keys()];
      const news = { type: 'status', isCurrent: true, confirmedMsAgo: 1, version: 1 } as const;
      const effects = step(follower.state, {
        type: 'reader-update-received',
        at: network.now,
        reader,
        news,
      });
      return effects.filter((effect) => 'configuration' in effect).length;
    };
    expect(receiveOlderStatus()).toBe(0);
    restoreWithoutRewrites(network, backup);
    network.advance(3_000);
    expect([receiveOlderStatus(), receiveOlderStatus()]).toEqual([1, 0]);
  });
});

describe('cost of a restore', () => {
  it('no gateway becomes unready, and one log line names both eras and the changes', () => {
    const { network, writers } = startNetwork();
    const backup = network.store.backup();
    writers.put('replicas', 'r-1', undefined);
    writers.put('replicas', 'r-new', replicaOf('r-new'));
    network.advance(1_000);
    const lines = collectLogChanges(network);
    restoreWithoutRewrites(network, backup);
    network.advance(BOUND_MS);
    const restored = lines.filter(({ event }) => event === 'store-returned');
    expect(restored.length).toBe(9);
    for (const line of restored) {
      expect(line).toMatchObject({ era: 2, previous: 1, version: 1 });
      expect(line).toMatchObject({ missing: { replicas: 1 } });
    }
    expect(restored).toContainEqual(expect.objectContaining({ older: { replicas: 1 } }));
    expect(lines.filter(({ event }) => event === 'ready')).toEqual([]);
  });

  it('a few gateways of each zone list, whatever their number, and entries are written over time', () => {
    const { network } = startNetwork(0);
    const backup = network.store.backup();
    for (let index = 0; index < 90; index += 1) {
      const zone = ['bole', 'arada', 'hall'][index % 3] ?? '';
      network.add(`${zone}-${index}`, zone, 1, BOUND_MS);
    }
    network.startAll();
    network.advance(SETTLED_MS);
    network.calls.length = 0;
    restoreWithoutRewrites(network, backup);
    const registers = (): number => network.calls.filter(({ type }) => type === 'register').length;
    network.advance(150);
    expect(registers()).toBeLessThan(60);
    network.advance(EXPIRY_MS);
    const lists = network.calls.filter(({ type }) => type === 'list').length;
    // Three candidates of each of three zones may read while the store is down; four collections, one or two pages
    // each.
    expect(lists).toBeLessThanOrEqual(9 * 4 * 2);
    expect(registers()).toBeLessThanOrEqual(2 * 90);
    expect(network.store.names('gateways').length).toBe(90);
  });
});
