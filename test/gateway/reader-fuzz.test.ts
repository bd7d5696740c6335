/** Readers under random faults: kills, restarts, cuts and a store that is away from some gateways. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ReaderNetwork, type VirtualNode } from './reader-network.js';
import { configurationOf, replicaOf } from './virtual-store.js';

/** The bound within which a change must be known, in milliseconds. */
const BOUND_MS = 3_000;

/** Time without faults after which all that run and reach the store must know the same. */
const CALM_MS = 12_000;

const RUNS = 60;
const SEED = 20_261_202;

type NodeFault = 'kill' | 'start' | 'lose-store' | 'regain-store' | 'refuse' | 'admit';

type Fault =
  | { readonly type: NodeFault; readonly node: number }
  | { readonly type: 'cut' | 'heal'; readonly node: number; readonly other: number }
  | { readonly type: 'configure' | 'drain' | 'remove'; readonly replica: number }
  | { readonly type: 'evacuate' | 'reopen'; readonly zone: string }
  | { readonly type: 'advance'; readonly ms: number };

const node = fc.nat(29);

const fault: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({ type: fc.constantFrom('kill', 'start', 'start'), node }),
  fc.record({ type: fc.constantFrom('lose-store', 'regain-store', 'refuse', 'admit'), node }),
  fc.record({ type: fc.constantFrom('cut', 'heal'), node, other: node }),
  fc.record({ type: fc.constantFrom('configure', 'drain', 'remove'), replica: fc.nat(9) }),
  fc.record({
    type: fc.constantFrom('evacuate', 'reopen'),
    zone: fc.constantFrom('bole', 'arada', 'hall'),
  }),
  fc.record({ type: fc.constant('advance'), ms: fc.oneof(fc.nat(50), fc.nat(4_000)) }),
) as fc.Arbitrary<Fault>;

const startNetwork = (gateways: number): ReaderNetwork => {
  const network = new ReaderNetwork();
  network.store.put('configuration', 'main', configurationOf(1));
  for (let index = 0; index < 10; index += 1) {
    network.store.put('replicas', `r-${index}`, replicaOf(`r-${index}`));
  }
  for (let index = 0; index < gateways; index += 1) {
    const zone = ['bole', 'arada', 'hall'][index % 3] ?? '';
    network.add(`${zone}-${index}`, zone, 1, BOUND_MS);
  }
  network.startAll();
  network.advance(5_000);
  return network;
};

class Run {
  version = 1;

  constructor(private readonly network: ReaderNetwork) {}

  apply(step: Fault): void {
    switch (step.type) {
      case 'advance':
        return this.network.advance(step.ms);
      case 'configure':
      case 'drain':
      case 'remove':
        return this.write(step.type, `r-${step.replica}`);
      case 'evacuate':
        return this.network.put('evacuations', step.zone, { zone: step.zone });
      case 'reopen':
        return this.network.put('evacuations', step.zone, undefined);
      case 'cut':
      case 'heal':
        return this.link(this.nodeAt(step.node), this.nodeAt(step.other), step.type === 'cut');
      default:
        return this.disturb(step.type, this.nodeAt(step.node));
    }
  }

  private nodeAt(index: number): VirtualNode {
    return this.network.nodes[index % this.network.nodes.length] as VirtualNode;
  }

  private write(type: 'configure' | 'drain' | 'remove', replica: string): void {
    if (type === 'configure') {
      this.version += 1;
      this.network.put('configuration', 'main', configurationOf(this.version));
    } else {
      const value = type === 'drain' ? replicaOf(replica, true) : undefined;
      this.network.put('replicas', replica, value);
    }
  }

  private link(left: VirtualNode, right: VirtualNode, isCut: boolean): void {
    if (left !== right) {
      this.network.setCut(left, right, isCut);
    }
  }

  private disturb(type: NodeFault, node: VirtualNode): void {
    switch (type) {
      case 'kill':
        return node.alive ? this.network.kill(node) : undefined;
      case 'start':
        return node.alive ? undefined : this.network.start(node);
      case 'lose-store':
      case 'regain-store':
        return this.network.setStore(node, type === 'regain-store');
      case 'refuse':
      case 'admit':
        return this.network.setRefused(node, type === 'refuse');
    }
  }
}

/** What a gateway must know of the replicas: those that are listed, and which of them drain. */
const replicasOf = (network: ReaderNetwork): readonly string[] => network.store.names('replicas');

describe('gateways that learn from each other', () => {
  it('know the same as the store after trouble, and never go back', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 5, max: 30 }),
        fc.array(fault, { minLength: 5, maxLength: 40 }),
        (gateways, faults) => {
          const network = startNetwork(gateways);
          const run = new Run(network);
          faults.forEach((step) => run.apply(step));
          network.healAll();
          network.nodes.forEach((each) => network.setStore(each, true));
          network.nodes.forEach((each) => network.setRefused(each, false));
          network.nodes.filter(({ alive }) => !alive).forEach((each) => network.start(each));
          network.advance(CALM_MS);
          for (const { name, version, regressions, state } of network.nodes) {
            expect([name, version, regressions]).toEqual([name, run.version, 0]);
            const listed = [...state.replicas.all()]
              .filter(({ goneAt }) => goneAt === undefined)
              .map(({ record }) => record.id)
              .sort();
            expect([name, listed]).toEqual([name, replicasOf(network)]);
            const evacuated = [...state.evacuatedZones].sort();
            expect([name, evacuated]).toEqual([name, network.store.names('evacuations')]);
          }
          expect(network.readers().length).toBeLessThanOrEqual(3);
        },
      ),
      { numRuns: RUNS, seed: SEED },
    );
  });

  it('that reach the store know a change within the bound, whoever is cut off or killed', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 5, max: 30 }),
        fc.array(fault, { minLength: 1, maxLength: 8 }),
        (gateways, faults) => {
          const network = startNetwork(gateways);
          network.advance(CALM_MS);
          const run = new Run(network);
          faults.filter(({ type }) => type !== 'advance').forEach((step) => run.apply(step));
          run.apply({ type: 'configure', replica: 0 });
          run.apply({ type: 'evacuate', zone: 'hall' });
          network.advance(BOUND_MS);
          for (const { name, alive, storeReachable, isRefused, version, state } of network.nodes) {
            if (alive && storeReachable && !isRefused) {
              expect([name, version]).toEqual([name, run.version]);
              expect([name, state.evacuatedZones.has('hall')]).toEqual([name, true]);
            }
          }
        },
      ),
      { numRuns: RUNS, seed: SEED },
    );
  });
});
