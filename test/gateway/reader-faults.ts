/** Random faults for gateways that follow each other, and their application to a network. */
import fc from 'fast-check';
import type { ReaderNetwork, VirtualNode } from './reader-network.js';
import { configurationOf, replicaOf } from './virtual-store.js';

type NodeFault = 'kill' | 'start' | 'lose-store' | 'regain-store' | 'refuse' | 'admit';

/** One fault, or a change of the store's content. */
export type Fault =
  | { readonly type: NodeFault; readonly node: number }
  | { readonly type: 'cut' | 'heal'; readonly node: number; readonly other: number }
  | { readonly type: 'configure' | 'drain' | 'remove'; readonly replica: number }
  | { readonly type: 'evacuate' | 'reopen'; readonly zone: string }
  | { readonly type: 'withhold-changes' | 'cut-watches' | 'discard-history' }
  | { readonly type: 'slow'; readonly node: number; readonly ms: number }
  | { readonly type: 'advance'; readonly ms: number };

const node = fc.nat(29);

/** Faults of processes, links and the reachability of the store, and changes of its content. */
export const fault: fc.Arbitrary<Fault> = fc.oneof(
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

/** The same, and interruptions of the store's watches. */
export const faultOrInterruption: fc.Arbitrary<Fault> = fc.oneof(
  fault,
  fc.record({
    type: fc.constantFrom('withhold-changes', 'cut-watches', 'cut-watches', 'discard-history'),
  }),
  fc.record({ type: fc.constant('slow'), node, ms: fc.constantFrom(4, 300) }),
) as fc.Arbitrary<Fault>;

/** Applies faults to a network. */
export class Run {
  /** The last version of the configuration that was written. */
  version = 1;

  constructor(
    private readonly network: ReaderNetwork,
    /** Writes to the store; the network itself where writes are not repeated after a restore. */
    private readonly writers: Pick<ReaderNetwork, 'put'> = network,
  ) {}

  apply(step: Fault): void {
    switch (step.type) {
      case 'advance':
        return this.network.advance(step.ms);
      case 'configure':
      case 'drain':
      case 'remove':
        return this.write(step.type, `r-${step.replica}`);
      case 'evacuate':
        return this.writers.put('evacuations', step.zone, { zone: step.zone });
      case 'reopen':
        return this.writers.put('evacuations', step.zone, undefined);
      case 'cut':
      case 'heal':
        return this.link(this.nodeAt(step.node), this.nodeAt(step.other), step.type === 'cut');
      case 'withhold-changes':
        return this.network.withholdChanges();
      case 'cut-watches':
        return this.network.cutWatches();
      case 'discard-history':
        return this.network.discardHistory();
      case 'slow':
        this.nodeAt(step.node).storeMs = step.ms;
        return undefined;
      default:
        return this.applyNodeFault(step.type, this.nodeAt(step.node));
    }
  }

  private nodeAt(index: number): VirtualNode {
    return this.network.nodes[index % this.network.nodes.length] as VirtualNode;
  }

  private write(type: 'configure' | 'drain' | 'remove', replica: string): void {
    if (type === 'configure') {
      this.version += 1;
      this.writers.put('configuration', 'main', configurationOf(this.version));
    } else {
      const value = type === 'drain' ? replicaOf(replica, true) : undefined;
      this.writers.put('replicas', replica, value);
    }
  }

  private link(left: VirtualNode, right: VirtualNode, isCut: boolean): void {
    if (left !== right) {
      this.network.setCut(left, right, isCut);
    }
  }

  private applyNodeFault(type: NodeFault, node: VirtualNode): void {
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
