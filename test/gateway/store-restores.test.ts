/**
 * Guards against changes that are lost after a restore of the store. The store was down for 2.5 s and was restored from
 * a backup some seconds old. Versions of the configuration that it acknowledged 5 to 8 s later were in force at no
 * gateway in time; one came into force at two of three readers, and at none of their followers.
 *
 * A restored store assigns its revisions again, and gateways compared revisions across the restore. The readers watched
 * from a revision that the store did not have, and were refused. Their lists then had a lower revision and were
 * discarded as outdated. This repeated 20 times and more until enough had been written, and changes of that time were
 * never published. Followers discarded the updates of their readers in the same way.
 */
import { describe, expect, it } from 'vitest';
import { ReaderNetwork } from './reader-network.js';
import { configurationOf, replicaOf, type StoreBackup } from './virtual-store.js';

/** The bound within which a change must be known, in milliseconds. */
const BOUND_MS = 3_000;

/** Time for a start, and for the lists of gateways to settle, in milliseconds. */
const SETTLED_MS = 8_000;

/** Duration of the outage before the restore, in milliseconds. */
const OUTAGE_MS = 2_500;

/** The same for a silent outage: by then all gateways have noticed it, and no call is pending. */
const SILENT_OUTAGE_MS = 5_000;

/** Number of changes that the store loses: more than are written in the seconds after the restore. */
const LOST_CHANGES = 120;

const ZONES = ['bole', 'arada', 'hall'];

/** Three gateways in each of three zones, over a store that names its era. */
const startNetwork = (): ReaderNetwork => {
  const network = new ReaderNetwork();
  network.store.era = 1;
  network.store.put('configuration', 'main', configurationOf(1));
  for (let index = 0; index < 60; index += 1) {
    const id = `r-${String(index).padStart(2, '0')}`;
    network.store.put('replicas', id, replicaOf(id));
  }
  for (const zone of ZONES) {
    for (let index = 0; index < 3; index += 1) {
      network.add(`${zone}-${index}`, zone, 1, BOUND_MS);
    }
  }
  network.startAll();
  network.advance(SETTLED_MS);
  return network;
};

const configure = (network: ReaderNetwork, version: number): void =>
  network.put('configuration', 'main', configurationOf(version));

/** Writes changes that do not concern the tests, but raise the revision. */
const writeOften = (network: ReaderNetwork, changes: number): void => {
  for (let change = 0; change < changes; change += 1) {
    const record = replicaOf('r-00');
    network.put('replicas', 'r-00', { ...record, slots: record.slots + (change % 2) });
  }
};

/** Takes the store down, with reset or silent connections, and restores it from the backup. */
const restoreFrom = (
  network: ReaderNetwork,
  backup: StoreBackup,
  mode: 'reset' | 'silent',
): void => {
  network.setStoreDown(true);
  if (mode === 'reset') {
    network.cutWatches();
  }
  network.advance(mode === 'reset' ? OUTAGE_MS : SILENT_OUTAGE_MS);
  network.restoreStore(backup);
  network.setStoreDown(false);
};

const versionsOf = ({ nodes }: ReaderNetwork): readonly number[] =>
  nodes.map(({ version }) => version);

const everywhere = (version: number): readonly number[] => Array<number>(9).fill(version);

describe('after a restore of the store', () => {
  it('acknowledged versions are in force at every gateway within the bound', () => {
    const network = startNetwork();
    const backup = network.store.backup();
    writeOften(network, LOST_CHANGES);
    network.advance(3_000);
    restoreFrom(network, backup, 'reset');
    network.advance(5_000);
    for (const version of [2, 3, 4]) {
      configure(network, version);
      network.advance(BOUND_MS);
      expect(versionsOf(network)).toEqual(everywhere(version));
    }
  });

  it('a version acknowledged right after it is in force within the bound', () => {
    const network = startNetwork();
    const backup = network.store.backup();
    writeOften(network, LOST_CHANGES);
    network.advance(3_000);
    restoreFrom(network, backup, 'reset');
    configure(network, 2);
    network.advance(BOUND_MS);
    expect(versionsOf(network)).toEqual(everywhere(2));
  });

  it('no change is missed where new revisions exceed the known ones', () => {
    const network = startNetwork();
    const backup = network.store.backup();
    writeOften(network, LOST_CHANGES);
    network.advance(3_000);
    restoreFrom(network, backup, 'silent');
    configure(network, 2);
    network.put('replicas', 'r-01', replicaOf('r-01', true));
    writeOften(network, 2 * LOST_CHANGES);
    network.advance(BOUND_MS);
    expect(versionsOf(network)).toEqual(everywhere(2));
    const draining = network.nodes.map(({ state }) => state.replicas.find('r-01')?.record.draining);
    expect(draining).toEqual(Array<boolean>(9).fill(true));
  });

  it('calls to the store are bounded, without repeated lists and refused watches', () => {
    const network = startNetwork();
    const backup = network.store.backup();
    writeOften(network, LOST_CHANGES);
    network.advance(3_000);
    restoreFrom(network, backup, 'reset');
    network.calls.length = 0;
    network.advance(8_000);
    const lists = network.calls.filter(({ type }) => type === 'list').length;
    // Three readers list each of four collections once; the 60 replicas take two pages of 50.
    expect(lists).toBeLessThanOrEqual(3 * 5);
  });

  it('a lost configuration stays in force until there is a newer one', () => {
    const network = startNetwork();
    const backup = network.store.backup();
    configure(network, 2);
    writeOften(network, LOST_CHANGES);
    network.advance(3_000);
    restoreFrom(network, backup, 'reset');
    network.advance(2_000);
    expect(versionsOf(network)).toEqual(everywhere(2));
    configure(network, 3);
    network.advance(BOUND_MS);
    expect(versionsOf(network)).toEqual(everywhere(3));
    expect(network.nodes.map(({ regressions }) => regressions)).toEqual(everywhere(0));
  });
});
