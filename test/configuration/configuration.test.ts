import { describe, expect, it } from 'vitest';
import { identifier, type ObjectName } from '../../src/core/identifiers.js';
import { describeOlderStore } from '../../src/core/configuration/older-store.js';
import { listMembersWithoutRevision } from '../../src/core/configuration/survey.js';
import { sheetOf, statusOf } from '../support/store-contents.js';
import { VirtualCluster, type VirtualNode } from '../support/virtual-cluster.js';

const ZONES = ['bole', 'arada', 'kirkos', 'yeka'];
const SEEDS = [1, 2, 3];
const SHEET = 'sheet/ensemble';

const holdsRevision = (cluster: VirtualCluster, revision: number): boolean =>
  cluster.running().every((node) => node.state.configuration.revision >= revision);

const versionAt = (node: VirtualNode, name: string): number =>
  node.state.configuration.objects.get(identifier<ObjectName>(name))?.version ?? 0;

const createCluster = (seed: number, lossShare = 0.01): VirtualCluster => {
  const cluster = new VirtualCluster({ seed, lossShare });
  cluster.store.write(SHEET, sheetOf('ensemble'));
  cluster.store.write('sheet/tawe', sheetOf('tawe'));
  cluster.store.write('status/ensemble/booking-desk-1', statusOf('ensemble', 'booking-desk-1'));
  return cluster;
};

const startServing = (seed: number, count = 12, lossShare = 0.01): VirtualCluster => {
  const cluster = createCluster(seed, lossShare);
  cluster.startMany(count, ZONES);
  cluster.runUntil(
    () =>
      cluster.isConverged() && cluster.running().every((node) => node.state.phase === 'serving'),
    10_000,
  );
  cluster.run(5_000);
  return cluster;
};

const countWatchers = (cluster: VirtualCluster, zone: string): number =>
  cluster.running().filter((node) => node.zone === zone && node.watching).length;

describe('configuration in force', () => {
  it.each(SEEDS)('is the same on 12 nodes, with two readers in each zone (seed %i)', (seed) => {
    const cluster = startServing(seed);
    expect(holdsRevision(cluster, 3)).toBe(true);
    expect(ZONES.map((zone) => countWatchers(cluster, zone))).toEqual([2, 2, 2, 2]);
  });

  it.each(SEEDS)(
    'includes each of 100 edits within 1 s on all nodes, with 1% message loss and failing nodes (seed %i)',
    (seed) => {
      const cluster = startServing(seed);
      let worst = 0;
      for (let edit = 0; edit < 100; edit += 1) {
        const killedNode = `node-${(edit * 7) % 12}`;
        const failsNow = edit % 4 === 0;
        if (failsNow) {
          cluster.kill(killedNode);
        }
        const { revision } = cluster.store.write(SHEET, sheetOf('ensemble', edit));
        worst = Math.max(
          worst,
          cluster.runUntil(() => holdsRevision(cluster, revision), 5_000),
        );
        cluster.run(500);
        if (failsNow) {
          const index = (edit * 7) % 12;
          const zone = ZONES[index % 4] as string;
          const place = { id: killedNode, zone, port: 9_000 + index, seeds: [9_000, 9_001, 9_002] };
          cluster.start(place);
          cluster.run(3_000);
        }
      }
      expect(worst).toBeLessThanOrEqual(1_000);
    },
  );

  it('moves the watch to another node when a reader is killed, with at most two readers in a zone', () => {
    const cluster = startServing(4, 16);
    const reader = cluster.running().find((node) => node.zone === 'bole' && node.watching);
    cluster.kill(reader?.id ?? '');
    cluster.runUntil(() => countWatchers(cluster, 'bole') === 2, 6_000);
    cluster.run(10_000);
    expect(ZONES.map((zone) => countWatchers(cluster, zone))).toEqual([2, 2, 2, 2]);
  });

  it('reaches a zone without connection to the store through peers', () => {
    const cluster = startServing(5);
    cluster.cut('yeka', 'store');
    cluster.run(100);
    const { revision } = cluster.store.write(SHEET, sheetOf('ensemble', 1));
    expect(cluster.runUntil(() => holdsRevision(cluster, revision), 5_000)).toBeLessThan(2_000);
  });

  it('transfers thousands of objects to joining nodes in pages', () => {
    const cluster = createCluster(6, 0);
    for (let service = 0; service < 1_200; service += 1) {
      const name = `desk-${service}`;
      cluster.store.write(`status/ensemble/${name}`, statusOf('ensemble', name, 8));
    }
    cluster.startMany(12, ZONES);
    const durationMs = cluster.runUntil(
      () => cluster.running().every((node) => node.state.phase === 'serving'),
      10_000,
    );
    expect(durationMs).toBeLessThan(5_000);
    const services = cluster
      .running()
      .map((node) => node.state.configuration.inForce.services.get(identifier('ensemble'))?.size);
    expect(services).toEqual(services.map(() => 1_201));
  });

  it('is surveyed for an awaited revision, and the nodes that lack it are listed', () => {
    const cluster = startServing(7);
    const node = cluster.node('node-2');
    cluster.pause('node-9', 60_000);
    const { revision } = cluster.store.write(SHEET, sheetOf('ensemble', 1));
    cluster.run(400);
    cluster.handle(node, { type: 'revision-awaited', revision });
    cluster.run(300);
    const lacking = listMembersWithoutRevision(node.state, revision);
    expect(lacking.map((member) => member.identity.node)).toEqual(['node-9']);
  });
});

describe('a starting node', () => {
  it('does not serve before the store or a peer has answered', () => {
    const cluster = createCluster(8);
    cluster.store.down = true;
    const alone = cluster.start({ id: 'alone', zone: 'bole', port: 9_000, seeds: [9_001] });
    cluster.run(60_000);
    expect(alone.state.phase).toBe('starting');
    cluster.store.down = false;
    cluster.run(35_000);
    expect(alone.state.phase).toBe('serving');
  });

  it('pulls from its peers while the store is down, and serves only with the newest revision', () => {
    const cluster = startServing(9);
    const { revision } = cluster.store.write(SHEET, sheetOf('ensemble', 1));
    cluster.run(1_000);
    cluster.store.down = true;
    cluster.run(20_000);
    const joining = cluster.start({ id: 'new', zone: 'bole', port: 9_500, seeds: [9_003] });
    cluster.runUntil(() => joining.state.phase === 'serving', 5_000);
    expect(joining.state.configuration.revision).toBe(revision);
  });

  it('serves even if the first peer that it pulls from is killed before answering', () => {
    for (let seed = 40; seed < 60; seed += 1) {
      const cluster = startServing(seed, 4, 0);
      const joining = cluster.start({ id: 'new', zone: 'bole', port: 9_500, seeds: [9_003] });
      cluster.runUntil(() => joining.state.configuration.pull !== undefined, 5_000, 0.5);
      cluster.kill(joining.state.configuration.pull?.peer ?? '');
      cluster.runUntil(() => joining.state.phase === 'serving', 5_000);
    }
  });

  it('pulls from a serving peer before it reads the store', () => {
    const cluster = startServing(61, 4, 0);
    cluster.kill('node-1');
    cluster.storeRequests = [];
    const zone = 'arada';
    const place = { id: 'node-1', zone, port: 9_001, seeds: [9_000] };
    const joining = cluster.start(place);
    cluster.runUntil(() => joining.state.phase === 'serving', 5_000, 1);
    expect(cluster.storeRequests.filter((request) => request.zone === zone)).toEqual([]);
    cluster.run(1_000);
    expect(joining.watching).toBe(true);
  });

  it('prefers the revision of its peers to that of an older store', () => {
    const cluster = startServing(10, 4, 0);
    const copy = [...cluster.store.objects.values()];
    const { revision } = cluster.store.write(SHEET, sheetOf('ensemble', 1));
    cluster.run(1_000);
    for (const zone of ZONES) {
      cluster.cut(zone, 'store');
    }
    cluster.store.restore(copy, revision - 1);
    cluster.run(100);
    const joining = cluster.start({ id: 'new', zone: 'gullele', port: 9_500, seeds: [9_003] });
    cluster.runUntil(() => joining.state.phase === 'serving', 10_000);
    expect(joining.state.configuration.revision).toBe(revision);
    expect(versionAt(joining, SHEET)).toBe(2);
  });
});

describe('a store that is down', () => {
  it('loses no member in 10 minutes, and gets at most two requests per zone in the second after it recovers', () => {
    const cluster = startServing(11, 28);
    cluster.store.down = true;
    cluster.run(600_000);
    expect(cluster.isConverged()).toBe(true);
    expect(cluster.running().every((node) => node.state.phase === 'serving')).toBe(true);
    cluster.store.down = false;
    cluster.storeRequests = [];
    const { revision } = cluster.store.write(SHEET, sheetOf('ensemble', 1));
    cluster.run(1_000);
    for (const zone of ZONES) {
      const requests = cluster.storeRequests.filter((request) => request.zone === zone);
      expect(requests.length).toBeLessThanOrEqual(2);
    }
    expect(cluster.runUntil(() => holdsRevision(cluster, revision), 60_000)).toBeLessThan(30_000);
    cluster.run(30_000);
    expect(ZONES.map((zone) => countWatchers(cluster, zone))).toEqual([2, 2, 2, 2]);
  });

  it('gets at most two requests per second from the readers of a zone', () => {
    const cluster = startServing(16);
    cluster.store.down = true;
    cluster.storeRequests = [];
    for (let second = 0; second < 30; second += 1) {
      cluster.run(1_000);
      for (const zone of ZONES) {
        const requests = cluster.storeRequests.filter((request) => request.zone === zone);
        expect(requests.length).toBeLessThanOrEqual(2);
      }
      cluster.storeRequests = [];
    }
  });

  it('is retried by each reader with growing delays', () => {
    const cluster = startServing(12);
    cluster.store.down = true;
    cluster.run(300_000);
    cluster.storeRequests = [];
    cluster.run(300_000);
    expect(cluster.storeRequests.length).toBeGreaterThan(8);
    expect(cluster.storeRequests.length).toBeLessThan(8 * 40);
  });
});

describe('a store restored from a backup', () => {
  it('has its older data refused and is restored to the configuration in force', () => {
    const cluster = startServing(13);
    const copy = [...cluster.store.objects.values()];
    const { revision: before } = cluster.store;
    for (let edit = 1; edit <= 5; edit += 1) {
      cluster.store.write(SHEET, sheetOf('ensemble', edit));
    }
    cluster.store.write('keys/tawe', {
      type: 'keys',
      keys: { partner: identifier('tawe'), keys: [] },
    });
    const { revision } = cluster.store;
    cluster.run(2_000);
    cluster.store.restore(copy, before);
    cluster.runUntil(() => cluster.store.revision > revision, 60_000);
    cluster.run(10_000);
    const restored = cluster.store.objects.get(SHEET);
    expect(restored?.content).toEqual(sheetOf('ensemble', 5));
    expect(cluster.store.objects.has('keys/tawe')).toBe(true);
    expect(cluster.running().every((node) => versionAt(node, SHEET) >= 6)).toBe(true);
    expect(cluster.running().some((node) => node.state.configuration.olderStore)).toBe(false);
    const refused = cluster
      .running()
      .reduce((sum, node) => sum + node.state.counters.configuration_older_refused, 0);
    expect(refused).toBeGreaterThan(0);
    const written = cluster.store.write(SHEET, sheetOf('ensemble', 6));
    cluster.runUntil(() => holdsRevision(cluster, written.revision), 2_000);
    expect(cluster.running().every((node) => versionAt(node, SHEET) === written.version)).toBe(
      true,
    );
  });

  it('provides objects that the platform wrote meanwhile, which come into force on all nodes', () => {
    const cluster = startServing(14);
    const copy = [...cluster.store.objects.values()];
    const { revision: before } = cluster.store;
    for (let edit = 1; edit <= 20; edit += 1) {
      cluster.store.write(SHEET, sheetOf('ensemble', edit));
    }
    cluster.run(2_000);
    cluster.store.restore(copy, before);
    cluster.store.write('status/ensemble/booking-desk-9', statusOf('ensemble', 'booking-desk-9'));
    cluster.runUntil(() => cluster.store.revision > before + 20, 60_000);
    cluster.run(5_000);
    const name = identifier<ObjectName>('status/ensemble/booking-desk-9');
    expect(cluster.running().every((node) => node.state.configuration.objects.has(name))).toBe(
      true,
    );
  });
});

describe('while a store is older', () => {
  it('describeOlderStore reports it, so that no edit is decided by the data of the store', () => {
    const cluster = startServing(62, 4, 0);
    const copy = [...cluster.store.objects.values()];
    const { revision: before } = cluster.store;
    for (let edit = 1; edit <= 300; edit += 1) {
      cluster.store.write(SHEET, sheetOf('ensemble', edit));
    }
    cluster.run(2_000);
    cluster.store.restore(copy, before);
    const reader = cluster.node('node-0');
    cluster.runUntil(() => reader.state.configuration.olderStore !== undefined, 10_000);
    expect(describeOlderStore(reader.state)).toContain('is in force');
    cluster.runUntil(() => reader.state.configuration.olderStore === undefined, 60_000);
    expect(describeOlderStore(reader.state)).toBeUndefined();
  });
});

describe('a store that lost writes and accepted others since', () => {
  it('is restored to the configuration in force when it reuses a version', () => {
    const cluster = startServing(15);
    const copy = [...cluster.store.objects.values()];
    const { revision: before } = cluster.store;
    for (let edit = 1; edit <= 5; edit += 1) {
      cluster.store.write(SHEET, sheetOf('ensemble', edit));
    }
    cluster.run(2_000);
    cluster.store.restore(copy, before + 100);
    cluster.store.write(SHEET, sheetOf('ensemble', 1));
    cluster.run(20_000);
    expect(cluster.store.objects.get(SHEET)?.content).toEqual(sheetOf('ensemble', 5));
    const { revision, version } = cluster.store.write(SHEET, sheetOf('ensemble', 6));
    cluster.runUntil(() => holdsRevision(cluster, revision), 2_000);
    expect(cluster.running().every((node) => versionAt(node, SHEET) === version)).toBe(true);
  });
});

describe('an object in force', () => {
  it.each(SEEDS)(
    'never reverts to an older revision during cuts, restarts and a restored store (seed %i)',
    (seed) => {
      const newest = new Map<string, number>();
      const reverted: string[] = [];
      const watchNode = (node: VirtualNode): void => {
        for (const object of node.state.configuration.objects.values()) {
          const key = `${node.id}@${node.state.self.incarnation}/${object.name}`;
          if ((newest.get(key) ?? 0) > object.revision) {
            reverted.push(key);
          }
          newest.set(key, object.revision);
        }
      };
      const cluster = startServing(seed + 20);
      const copy = [...cluster.store.objects.values()];
      const { revision: copied } = cluster.store;
      for (let round = 0; round < 60; round += 1) {
        cluster.store.write(round % 2 === 0 ? SHEET : 'sheet/tawe', sheetOf('ensemble', round));
        if (round % 10 === 3) {
          cluster.cut('bole', 'store');
          cluster.cut('bole', 'yeka');
        }
        if (round % 10 === 6) {
          cluster.heal();
        }
        if (round === 31) {
          cluster.store.restore(copy, copied);
        }
        if (round % 7 === 0) {
          const index = round % 12;
          cluster.kill(`node-${index}`);
          cluster.run(300);
          const zone = ZONES[index % 4] as string;
          cluster.start({ id: `node-${index}`, zone, port: 9_000 + index, seeds: [9_000, 9_005] });
        }
        for (let part = 0; part < 10; part += 1) {
          cluster.run(100);
          cluster.running().forEach(watchNode);
        }
      }
      expect(reverted).toEqual([]);
      cluster.heal();
      cluster.run(60_000);
      const { revision } = cluster.store.write(SHEET, sheetOf('ensemble', 99));
      cluster.runUntil(() => holdsRevision(cluster, revision), 5_000);
    },
  );
});
