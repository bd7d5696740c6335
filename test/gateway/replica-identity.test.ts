import { describe, expect, it } from 'vitest';
import type { ReplicaRecord } from '../../src/gateway/model/replica-record.js';
import { snapshotOf } from '../../src/gateway/readers/update-content.js';
import type { Replica } from '../../src/gateway/replicas/replica.js';
import { routeTo, VirtualGateway } from './virtual-gateway.js';

const ID = 'i-1';

/** Entries up to this revision are emitted as a list, later ones as changes. */
const FIRST_REVISION = 1;

const RECORD: ReplicaRecord = {
  id: ID,
  service: 'desk',
  host: '10.0.0.1',
  port: 1,
  zone: 'bole',
  slots: 2,
  draining: false,
  coldMs: 0,
  bornAt: 1_000,
};

const gatewayWith = (): VirtualGateway => {
  const gateway = new VirtualGateway();
  gateway.configure(1, [routeTo({ type: 'service', service: 'desk' })]);
  list(gateway, RECORD, 1);
  return gateway;
};

/** Emits the replica's entry at a revision of the store; an absent value stands for an entry that cannot be decoded. */
const list = (
  gateway: VirtualGateway,
  value: ReplicaRecord | undefined,
  revision: number,
): void => {
  const objects = [{ name: ID, gone: false, ...(value !== undefined && { value }) }];
  const { now: at } = gateway;
  if (revision <= FIRST_REVISION) {
    const page = { collection: 'replicas', objects, more: false, last: '', revision } as const;
    gateway.emit({ type: 'page-read', at, page });
  } else {
    gateway.emit({
      type: 'changes-read',
      at,
      changes: { collection: 'replicas', objects, revision },
    });
  }
};

const replicaOf = ({ state }: VirtualGateway): Replica | undefined => state.replicas.find(ID);

describe('a replica that restarts under the same identifier', () => {
  it('starts without the measurements of the previous incarnation', () => {
    const gateway = gatewayWith();
    const known = replicaOf(gateway);
    if (known !== undefined) {
      Object.assign(known, { failures: 3, ejectedUntil: 9_000, slowdown: 7, loadAt: 5 });
      known.load = { running: 2, waiting: 9, slots: 2 };
    }
    gateway.request();
    list(gateway, { ...RECORD, bornAt: 2_000, coldMs: 500 }, 2);
    expect(replicaOf(gateway)).toMatchObject({
      failures: 0,
      ejectedUntil: Number.NEGATIVE_INFINITY,
      slowdown: 1,
      load: undefined,
      coldUntil: 500,
      pending: new Map(),
    });
  });

  it('does not inherit the draining state of the previous incarnation', () => {
    const gateway = gatewayWith();
    list(gateway, { ...RECORD, draining: true }, 2);
    list(gateway, { ...RECORD, bornAt: 2_000 }, 3);
    expect(replicaOf(gateway)).toMatchObject({ drainingSince: undefined, goneAt: undefined });
  });

  it('gets new connections, at the address in its entry', () => {
    const gateway = gatewayWith();
    list(gateway, { ...RECORD, bornAt: 2_000, port: 2 }, 2);
    expect(gateway.effects).toContainEqual({ type: 'close-replica', replica: ID });
    gateway.request();
    expect(gateway.sent.at(-1)?.replica.port).toBe(2);
  });

  it('serves the service in its entry', () => {
    const gateway = gatewayWith();
    list(gateway, { ...RECORD, bornAt: 2_000, service: 'other' }, 2);
    expect(gateway.state.replicas.of('desk')).toEqual([]);
    expect(gateway.state.replicas.of('other')).toHaveLength(1);
  });

  it('is not replaced by the entry of an earlier incarnation in an outdated list', () => {
    const gateway = gatewayWith();
    list(gateway, { ...RECORD, bornAt: 2_000, port: 2 }, 2);
    list(gateway, { ...RECORD, draining: true }, FIRST_REVISION);
    expect(replicaOf(gateway)?.record).toMatchObject({ bornAt: 2_000, port: 2, draining: false });
  });

  it('is recognized as a new incarnation even if the clock of its machine was set back', () => {
    const gateway = gatewayWith();
    list(gateway, { ...RECORD, bornAt: 500, port: 2 }, 2);
    expect(replicaOf(gateway)?.record).toMatchObject({ bornAt: 500, port: 2 });
  });

  it('keeps its measurements if entries give no start time', () => {
    const gateway = gatewayWith();
    const known = replicaOf(gateway);
    if (known !== undefined) {
      known.slowdown = 7;
    }
    const { bornAt, ...older } = RECORD;
    list(gateway, older, 2);
    expect([bornAt, replicaOf(gateway)?.slowdown]).toEqual([1_000, 7]);
  });
});

describe('a replica whose entry cannot be decoded', () => {
  it('is sent to followers without a value, and gets no requests', () => {
    const gateway = gatewayWith();
    list(gateway, undefined, 2);
    const snapshot = snapshotOf(gateway.state, 'replicas', gateway.now);
    expect(snapshot?.objects).toEqual([{ name: ID, gone: false }]);
    gateway.request();
    expect(gateway.sent).toEqual([]);
  });

  it('gets requests again after it has written a valid entry', () => {
    const gateway = gatewayWith();
    list(gateway, undefined, 2);
    list(gateway, RECORD, 3);
    gateway.request();
    expect(gateway.sent).toHaveLength(1);
  });
});
