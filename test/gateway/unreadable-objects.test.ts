/** Many entries that cannot be read at once, among others that can. */
import { describe, expect, it } from 'vitest';
import type { StateChange } from '../../src/gateway/log/log-event.js';
import type { StoreObjects } from '../../src/gateway/store/store-objects.js';
import { gatherOf, replicaRecord, routeTo, VirtualGateway } from './virtual-gateway.js';

type ReplicaObject = Extract<StoreObjects, { collection: 'replicas' }>['objects'][number];

const SPOILT = 300;
const PROBLEM = 'slots: is no whole number';

const spoilt = (index: number): ReplicaObject => ({
  name: `spoilt-${index}`,
  gone: false,
  problem: PROBLEM,
});

const whole = (id: string, service: string): ReplicaObject => ({
  name: id,
  gone: false,
  value: replicaRecord(id, service),
});

/** A page of which the first and the last entry can be read, and the others cannot. */
const readPage = (): VirtualGateway => {
  const gateway = new VirtualGateway();
  gateway.configure(1, [routeTo(gatherOf(2, 1))]);
  const many = Array.from({ length: SPOILT }, (_, index) => spoilt(index));
  const objects = [whole('first', 's0'), ...many, whole('last', 's1')];
  const page = { collection: 'replicas', objects, more: false, last: '', revision: 1 } as const;
  gateway.emit({ type: 'page-read', at: gateway.now, page });
  return gateway;
};

const linesOf = ({ effects }: VirtualGateway): readonly StateChange[] =>
  effects
    .flatMap((effect) => (effect.type === 'write-log' ? [effect.change] : []))
    .filter(({ event }) => event === 'object-unreadable');

describe('hundreds of entries that cannot be read', () => {
  it('leave those that can be read to be used, wherever they stand in the page', () => {
    const gateway = readPage();
    gateway.request();
    expect(gateway.sent.map(({ replica }) => replica.id).sort()).toEqual(['first', 'last']);
  });

  it('are all counted, and logged with name and field in a few lines', () => {
    const gateway = readPage();
    const lines = linesOf(gateway);
    expect(lines).toHaveLength(8);
    expect(lines[0]).toMatchObject({ collection: 'replicas', name: 'spoilt-0', problem: PROBLEM });
    expect(lines.at(-1)).toMatchObject({ unnamed: SPOILT - 8 });
    const counted = gateway.state.counters.unreadableObjects.values();
    expect(counted).toMatchObject([{ labels: { collection: 'replicas' }, value: SPOILT }]);
  });
});
