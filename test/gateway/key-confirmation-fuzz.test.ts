/**
 * Revocations of an API key under random faults of several gateways. The invariants: no gateway admits the key later than
 * the time limit after the store acknowledged its removal; and once the faults have ended, all gateways admit a valid key.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createRandom } from '../../src/core/random.js';
import { admitsKey, createKeyNetwork, keyedConfiguration, REVOCATION_MS } from './key-network.js';
import { type Fault, faultOrInterruption, Run } from './reader-faults.js';
import type { ReaderNetwork, VirtualNode } from './reader-network.js';

/** Interval at which every gateway is checked, in milliseconds. */
const CHECK_INTERVAL_MS = 20;

/** Time without faults after which all gateways must admit a valid key, in milliseconds. */
const RECOVERY_MS = 14_000;

const RUNS = 60;
const SEED = 20_261_203;

type KeyFault =
  | { readonly type: 'revoke' | 'allow' | 'spoil' }
  | { readonly type: 'pause'; readonly node: number; readonly ms: number }
  | { readonly type: 'delay-answers'; readonly node: number; readonly ms: number }
  | { readonly type: 'delay-messages'; readonly seed: number; readonly ms: number }
  | { readonly type: 'store-down' | 'store-up' }
  | { readonly type: 'restart-all' }
  | { readonly type: 'wait'; readonly ms: number };

const node = fc.nat(29);

const keyFault: fc.Arbitrary<KeyFault> = fc.oneof(
  { weight: 3, arbitrary: fc.record({ type: fc.constantFrom('revoke', 'allow', 'spoil') }) },
  fc.record({ type: fc.constant('pause'), node, ms: fc.nat(9_000) }),
  fc.record({ type: fc.constant('delay-answers'), node, ms: fc.constantFrom(0, 100, 600, 900) }),
  fc.record({
    type: fc.constant('delay-messages'),
    seed: fc.nat(),
    ms: fc.constantFrom(0, 50, 6_000),
  }),
  fc.record({ type: fc.constantFrom('store-down', 'store-up') }),
  fc.record({ type: fc.constant('restart-all') }),
  { weight: 4, arbitrary: fc.record({ type: fc.constant('wait'), ms: fc.nat(6_000) }) },
) as fc.Arbitrary<KeyFault>;

const steps = fc.array(
  fc.oneof(
    { weight: 3, arbitrary: keyFault },
    {
      weight: 4,
      // Other changes of the configuration would have no tenants.
      arbitrary: faultOrInterruption.filter(({ type }) => type !== 'configure'),
    },
  ),
  { minLength: 5, maxLength: 40 },
);

/** A network in which every gateway is checked at a short interval. */
class RevokingNetwork {
  /** When the store acknowledged the removal of the key; undefined while it is valid. */
  private revokedAt: number | undefined;
  private version = 1;
  readonly violations: string[] = [];

  constructor(readonly network: ReaderNetwork) {
    this.check();
  }

  /** Writes a configuration with or without the key. */
  write(isRevoked: boolean): void {
    this.version += 1;
    this.network.put('configuration', 'main', keyedConfiguration(this.version, isRevoked));
    this.revokedAt = isRevoked ? (this.revokedAt ?? this.network.now) : undefined;
  }

  apply(step: KeyFault): void {
    const { network } = this;
    switch (step.type) {
      case 'revoke':
      case 'allow':
        return this.write(step.type === 'revoke');
      case 'spoil':
        this.version += 1;
        network.put('configuration', 'main', { version: this.version, isUnreadable: true });
        return undefined;
      case 'pause':
        return network.pauseProcess(this.nodeAt(step.node), step.ms);
      case 'delay-answers':
        this.nodeAt(step.node).answerDelayMs = step.ms;
        return undefined;
      case 'delay-messages': {
        const random = createRandom(step.seed);
        network.peerDelayMs = () => random.next() * step.ms;
        return undefined;
      }
      case 'store-down':
      case 'store-up':
        return network.setStoreDown(step.type === 'store-down');
      case 'restart-all':
        network.nodes.filter(({ alive }) => alive).forEach((each) => network.kill(each));
        return network.nodes.forEach((each) => network.start(each));
      case 'wait':
        return network.advance(step.ms);
    }
  }

  private nodeAt(index: number): VirtualNode {
    return this.network.nodes[index % this.network.nodes.length] as VirtualNode;
  }

  private check(): void {
    const { network, revokedAt } = this;
    const forMs = network.now - (revokedAt ?? network.now);
    if (forMs > REVOCATION_MS) {
      network.nodes
        .filter((each) => admitsKey(each, network))
        .forEach(({ name }) => this.violations.push(`${name} admits the key after ${forMs} ms`));
    }
    network.after(CHECK_INTERVAL_MS, () => this.check());
  }
}

const isKeyFault = (step: KeyFault | Fault): step is KeyFault =>
  [
    'revoke',
    'allow',
    'spoil',
    'pause',
    'delay-answers',
    'delay-messages',
    'store-down',
    'store-up',
    'restart-all',
    'wait',
  ].includes(step.type);

const endFaults = (network: ReaderNetwork): void => {
  network.healAll();
  network.setStoreDown(false);
  network.peerDelayMs = () => 0;
  for (const each of network.nodes) {
    network.setStore(each, true);
    network.setRefused(each, false);
    each.answerDelayMs = 0;
    if (!each.alive) {
      network.start(each);
    }
  }
  network.discardHistory();
};

describe('a revoked key', () => {
  it('is admitted nowhere beyond the limit, whatever fails; a valid one is admitted after the faults', () => {
    fc.assert(
      fc.property(fc.integer({ min: 2, max: 15 }), steps, (gateways, faults) => {
        const network = createKeyNetwork(gateways, ['bole', 'arada', 'hall']);
        network.holdsUpdatesOfCutLinks = true;
        network.startAll();
        network.advance(6_000);
        const revoking = new RevokingNetwork(network);
        const run = new Run(network);
        faults.forEach((step) => (isKeyFault(step) ? revoking.apply(step) : run.apply(step)));
        network.advance(REVOCATION_MS * 2);
        endFaults(network);
        revoking.write(false);
        network.advance(RECOVERY_MS);
        expect(revoking.violations).toEqual([]);
        const refusing = network.nodes.filter((each) => !admitsKey(each, network));
        expect(refusing.map(({ name }) => name)).toEqual([]);
      }),
      { numRuns: RUNS, seed: SEED },
    );
  }, 60_000);
});
