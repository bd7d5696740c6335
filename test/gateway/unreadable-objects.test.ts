/** Guards against a page with many undecodable entries that hides the valid ones or floods the log. */
import { describe, expect, it } from 'vitest';
import type { StateChange } from '../../src/gateway/log/log-event.js';
import type { StoreObjects } from '../../src/gateway/store/store-objects.js';
import { gatherOf, replicaRecord, routeTo, VirtualGateway } from './virtual-gateway.js';

type ReplicaObject = Extract<StoreObjects, { collection: 'replicas' }>['objects'][number];

const UNREADABLE_COUNT = 300;
const PROBLEM = 'slots: is not a whole number';

const unreadableObject = (index: number): ReplicaObject => ({
  name: `unreadable-${index}`,
  gone: false,
  problem: PROBLEM,
});

const readableObject = (id: string, service: string): ReplicaObject => ({
  name: id,
  gone: false,
  value: replicaRecord(id, service),
});

/** Emits a page whose first and last entries are valid and whose other entries cannot be decoded. */
const readPage = (): VirtualGateway => {
  const gateway = new VirtualGateway();
  gateway.configure(1, [routeTo(gatherOf(2, 1))]);
  const many = Array.from({ length: UNREADABLE_COUNT }, (_, index) => unreadableObject(index));
  const objects = [readableObject('first', 's0'), ...many, readableObject('last', 's1')];
  const page = { collection: 'replicas', objects, more: false, last: '', revision: 1 } as const;
  gateway.emit({ type: 'page-read', at: gateway.now, page });
  return gateway;
};

const linesOf = ({ effects }: VirtualGateway): readonly StateChange[] =>
  effects
    .flatMap((effect) => (effect.type === 'write-log' ? [effect.change] : []))
    .filter(({ event }) => event === 'object-unreadable');

describe('hundreds of entries that cannot be decoded', () => {
  it('do not prevent the use of valid entries before and after them', () => {
    const gateway = readPage();
    gateway.request();
    expect(gateway.sent.map(({ replica }) => replica.id).sort()).toEqual(['first', 'last']);
  });

  it('are all counted, and logged with name and field in a few lines', () => {
    const gateway = readPage();
    const lines = linesOf(gateway);
    expect(lines).toHaveLength(8);
    expect(lines[0]).toMatchObject({
      collection: 'replicas',
      name: 'unreadable-0',
      problem: PROBLEM,
    });
    expect(lines.at(-1)).toMatchObject({ unnamed: UNREADABLE_COUNT - 8 });
    const counted = gateway.state.counters.unreadableObjects.values();
    expect(counted).toMatchObject([
      { labels: { collection: 'replicas' }, value: UNREADABLE_COUNT },
    ]);
  });
});
