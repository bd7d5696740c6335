import { describe, expect, it } from 'vitest';
import type { StateChange } from '../../src/gateway/log/log-event.js';
import type { StoreObjects } from '../../src/gateway/store/store-objects.js';
import { replicaRecord, VirtualGateway } from './virtual-gateway.js';

type ReplicaObjects = Extract<StoreObjects, { collection: 'replicas' }>['objects'];

/** Largest write to a pipe that is atomic, in bytes. */
const PIPE_BYTES = 4_096;

const replicaNames = (service: string, count: number): readonly string[] =>
  Array.from({ length: count }, (_, index) => `${service}-replica-${index}`);

const replicaObjects = (service: string, count: number, draining = false): ReplicaObjects =>
  replicaNames(service, count).map((id) => ({
    name: id,
    gone: false,
    value: replicaRecord(id, service, draining),
  }));

const goneObjects = (service: string, count: number): ReplicaObjects =>
  replicaNames(service, count).map((name) => ({ name, gone: true }));

/** Objects of `count` services with `each` replicas per service. */
const indexOf = (count: number, each: number, prefix = 'shard'): ReplicaObjects =>
  Array.from({ length: count }, (_, index) => replicaObjects(`${prefix}-${index}`, each)).flat();

/** A gateway that has read an empty list of replicas, so that it logs changes. */
class LoggingGateway {
  private readonly gateway = new VirtualGateway();
  private revision = 1;

  constructor() {
    this.readWholeList([]);
    this.takeLines();
  }

  /** Emits a complete list as one page. */
  readWholeList(objects: ReplicaObjects): void {
    this.revision += 1;
    const page = { objects, more: false, last: '', revision: this.revision } as const;
    this.gateway.emit({
      type: 'page-read',
      at: this.gateway.now,
      page: { collection: 'replicas', ...page },
    });
  }

  /** Emits the changes of a watch. */
  readChanges(objects: ReplicaObjects): void {
    this.revision += 1;
    const changes = { collection: 'replicas', objects, revision: this.revision } as const;
    this.gateway.emit({ type: 'changes-read', at: this.gateway.now, changes });
  }

  /** Returns the log lines about replicas since the last call. */
  takeLines(): readonly StateChange[] {
    return this.gateway.effects
      .splice(0)
      .flatMap((effect) =>
        effect.type === 'write-log' && effect.part === 'replica' ? [effect.change] : [],
      );
  }
}

describe('the log of replicas', () => {
  it('has one line for the 400 replicas of a new index, with counts by service', () => {
    const gateway = new LoggingGateway();
    gateway.readChanges([...indexOf(130, 3), ...replicaObjects('desk', 10)]);
    const lines = gateway.takeLines();
    expect(lines).toMatchObject([
      { event: 'replicas-changed', replicas: 400, listed: { 'shard-0': 3, desk: 10 } },
    ]);
    expect(JSON.stringify(lines[0]).length).toBeLessThan(PIPE_BYTES);
  });

  it('has one line for a page, which counts only the replicas that the page changes', () => {
    const gateway = new LoggingGateway();
    gateway.readWholeList(indexOf(10, 3));
    gateway.takeLines();
    gateway.readWholeList([...indexOf(10, 3), ...indexOf(20, 2, 'new')]);
    expect(gateway.takeLines()).toMatchObject([{ event: 'replicas-changed', replicas: 40 }]);
  });

  it('counts replicas by state', () => {
    const gateway = new LoggingGateway();
    gateway.readChanges([...replicaObjects('old', 3), ...replicaObjects('desk', 2)]);
    gateway.takeLines();
    const changed = [...replicaObjects('new', 4), ...replicaObjects('desk', 2, true)];
    gateway.readChanges([...changed, ...goneObjects('old', 3)]);
    expect(gateway.takeLines()).toEqual([
      {
        event: 'replicas-changed',
        replicas: 9,
        listed: { new: 4 },
        draining: { desk: 2 },
        gone: { old: 3 },
      },
    ]);
  });

  it('has one line for each replica if few change', () => {
    const gateway = new LoggingGateway();
    gateway.readChanges(replicaObjects('desk', 2));
    expect(gateway.takeLines()).toEqual([
      { event: 'replica-changed', replica: 'desk-replica-0', service: 'desk', state: 'listed' },
      { event: 'replica-changed', replica: 'desk-replica-1', service: 'desk', state: 'listed' },
    ]);
  });

  it('has a line for each replica that a complete list no longer contains', () => {
    const gateway = new LoggingGateway();
    gateway.readChanges(indexOf(2, 3));
    gateway.takeLines();
    gateway.readWholeList(replicaObjects('shard-0', 2));
    expect(gateway.takeLines()).toMatchObject([
      { event: 'replica-changed', replica: 'shard-0-replica-2', state: 'gone' },
      { event: 'replica-changed', replica: 'shard-1-replica-0', state: 'gone' },
      { event: 'replica-changed', replica: 'shard-1-replica-1', state: 'gone' },
      { event: 'replica-changed', replica: 'shard-1-replica-2', state: 'gone' },
    ]);
    gateway.readWholeList(replicaObjects('shard-0', 2));
    expect(gateway.takeLines()).toEqual([]);
  });

  it('keeps its line within one write, however many services and however long their names', () => {
    const gateway = new LoggingGateway();
    gateway.readChanges(indexOf(600, 3, 'a-service-with-a-name-as-long-as-most-stores-allow-for'));
    const [line, ...others] = gateway.takeLines();
    expect(others).toEqual([]);
    const { listed, unnamed } = line as Extract<StateChange, { event: 'replicas-changed' }>;
    const named = Object.values(listed ?? {}).reduce((sum, count) => sum + count, 0);
    expect(named + (unnamed ?? 0)).toBe(1_800);
    expect(JSON.stringify(line).length).toBeLessThan(PIPE_BYTES);
  });
});
