import { describe, expect, it } from 'vitest';
import { ReaderNetwork, type VirtualNode } from './reader-network.js';
import { routeTo, VirtualGateway } from './virtual-gateway.js';
import { configurationOf, replicaOf } from './virtual-store.js';

const BOUND_MS = 3_000;
const SETTLED_MS = 8_000;
const PAUSE_MS = 5_000;

/** Enough time for a list of the store or an answer of a reader. */
const CONFIRMED_MS = 100;

/** Upper bound of the wait for a confirmation that does not come, with a margin. */
const MAX_CONFIRM_MS = 1_200;

/** Three gateways of one zone, of which one reads the store and the others follow it. */
const networkOf = (): ReaderNetwork => {
  const network = new ReaderNetwork();
  network.store.put('configuration', 'main', configurationOf(1));
  network.store.put('replicas', 'r-1', replicaOf('r-1'));
  for (let index = 0; index < 3; index += 1) {
    network.add(`bole-${index}`, 'bole', 1, BOUND_MS);
  }
  network.startAll();
  network.advance(SETTLED_MS);
  return network;
};

const nodeWithRole = (network: ReaderNetwork, role: 'reads' | 'follows'): VirtualNode => {
  const readers = network.readers();
  const found = network.nodes.find(({ name }) => readers.includes(name) === (role === 'reads'));
  if (found === undefined) {
    throw new Error(`no gateway ${role}`);
  }
  return found;
};

/** Pauses a gateway's process while a new configuration version comes into force. */
const pauseDuringUpdate = (network: ReaderNetwork, node: VirtualNode): void => {
  network.pauseProcess(node, PAUSE_MS);
  network.advance(PAUSE_MS - 100);
  network.put('configuration', 'main', configurationOf(2));
  network.advance(100);
};

describe.each(['reads', 'follows'] as const)('a gateway that %s, after a process pause', (role) => {
  it('is ready again only when its state has been confirmed', () => {
    const network = networkOf();
    const node = nodeWithRole(network, role);
    pauseDuringUpdate(network, node);
    expect(node.state.ready).toBe(false);
    network.advance(CONFIRMED_MS);
    expect(node.state.ready).toBe(true);
    expect(node.version).toBe(2);
  });

  it('is ready again soon, with its known state, if the store is unreachable', () => {
    const network = networkOf();
    const node = nodeWithRole(network, role);
    network.setStoreDown(true);
    network.pauseProcess(node, PAUSE_MS);
    network.advance(PAUSE_MS + MAX_CONFIRM_MS);
    expect(node.state.ready).toBe(true);
  });

  it('is ready again soon if it can reach neither the store nor a reader', () => {
    const network = networkOf();
    const node = nodeWithRole(network, role);
    network.setStore(node, false);
    network.nodes
      .filter((each) => each !== node)
      .forEach((each) => network.setCut(node, each, true));
    network.pauseProcess(node, PAUSE_MS);
    network.advance(PAUSE_MS + MAX_CONFIRM_MS);
    expect(node.state.ready).toBe(true);
  });
});

describe('a request at a gateway after a process pause', () => {
  const FOR_MS = 4_000;

  /** The only gateway, which reads the store, at the end of a process pause. */
  const pausedGateway = (): VirtualGateway => {
    const gateway = new VirtualGateway();
    gateway.configure(1, [routeTo({ type: 'service', service: 's0' })]);
    gateway.listReplicas(['s0']);
    gateway.state.reading.isReading = true;
    gateway.now = FOR_MS;
    gateway.emit({ type: 'stood-still', at: gateway.now, forMs: FOR_MS, suspendedMs: 0 });
    return gateway;
  };

  it('is sent when the state of the gateway has been confirmed', () => {
    const gateway = pausedGateway();
    gateway.request();
    gateway.emit({ type: 'reading-due', at: gateway.now });
    expect(gateway.sent).toEqual([]);
    gateway.now += 5;
    gateway.configure(2, [routeTo({ type: 'service', service: 's0' })]);
    gateway.listReplicas(['s0']);
    expect(gateway.sent).toHaveLength(1);
  });

  it('is refused with a retry time if the state is not confirmed in time', () => {
    const gateway = pausedGateway();
    const call = gateway.request();
    gateway.advanceTo(gateway.now + 200);
    expect(gateway.answers.get(call)).toMatchObject({ type: 'refusal', mayHaveRun: false });
    expect(gateway.sent).toEqual([]);
  });

  it('is sent according to the known state when the store is found unreachable', () => {
    const gateway = pausedGateway();
    gateway.request();
    gateway.emit({ type: 'reading-due', at: gateway.now });
    gateway.emit({ type: 'probe-ended', at: gateway.now, answered: false, era: undefined });
    expect(gateway.sent).toHaveLength(1);
  });

  it('is refused immediately as a subquery, so that the coordinator can use another feeder', () => {
    const gateway = pausedGateway();
    const call = gateway.receiveSubquery({ shards: ['s0'] });
    expect(gateway.effects.at(-1)).toEqual({ type: 'refuse-subquery', call });
  });

  it('is refused immediately without an attempt if its deadline passed during the pause', () => {
    const gateway = new VirtualGateway();
    gateway.configure(1, [routeTo({ type: 'service', service: 's0' })]);
    gateway.listReplicas(['s0']);
    const call = gateway.request(900);
    const sent = gateway.sent.length;
    gateway.now = FOR_MS;
    gateway.emit({ type: 'stood-still', at: gateway.now, forMs: FOR_MS, suspendedMs: 0 });
    gateway.advanceTo(gateway.now);
    expect(gateway.answers.get(call)).toMatchObject({ type: 'refusal' });
    expect(gateway.sent).toHaveLength(sent);
  });
});
