/** The confirmation of API keys under one failure at a time, over several gateways in virtual time. */
import { describe, expect, it } from 'vitest';
import type { StateChange } from '../../src/gateway/log/log-event.js';
import {
  admitsKey,
  confirmationAge,
  createKeyNetwork,
  keyedConfiguration,
  REVOCATION_MS,
  rolesIn,
} from './key-network.js';
import type { ReaderNetwork, VirtualNode } from './reader-network.js';
import { configurationOf } from './virtual-store.js';

const ZONES = ['bole', 'arada', 'hall'];

/** Time after which readers and followers have settled, in milliseconds. */
const SETTLED_MS = 10_000;

/** Time within which a gateway must be able to serve after its start, in milliseconds. */
const START_MS = 30;

/** Age from which a gateway may stop serving requests with keys, in milliseconds. */
const EXPECTED_MS = 0.6 * REVOCATION_MS;

const STEP_MS = 10;

const settledNetwork = (gateways = 9, zones: readonly string[] = ZONES): ReaderNetwork => {
  const network = createKeyNetwork(gateways, zones);
  network.startAll();
  network.advance(SETTLED_MS);
  return network;
};

/** Advances in small steps; returns the greatest age of a confirmation at the given gateways. */
const greatestAge = (
  network: ReaderNetwork,
  forMs: number,
  nodes: readonly VirtualNode[] = network.nodes,
): number => {
  let greatest = 0;
  for (let passed = 0; passed < forMs; passed += STEP_MS) {
    network.advance(STEP_MS);
    nodes.forEach((node) => {
      greatest = Math.max(greatest, confirmationAge(node, network));
    });
  }
  return greatest;
};

/** Advances until no running gateway admits the key; returns how long that took. */
const timeUntilRefused = (network: ReaderNetwork, nodes: readonly VirtualNode[]): number => {
  const from = network.now;
  while (nodes.some((node) => admitsKey(node, network)) && network.now - from < 60_000) {
    network.advance(STEP_MS);
  }
  return network.now - from;
};

const others = (network: ReaderNetwork, node: VirtualNode): readonly VirtualNode[] =>
  network.nodes.filter((each) => each !== node);

const cutOff = (network: ReaderNetwork, node: VirtualNode): void => {
  network.setStore(node, false);
  others(network, node).forEach((each) => network.setCut(node, each, true));
};

const countCalls = (network: ReaderNetwork, type: string): number =>
  network.calls.filter((call) => call.type === type).length;

describe('without faults', () => {
  it('confirmations are never old, and one gateway makes the confirming reads', () => {
    const network = settledNetwork();
    network.calls.splice(0);
    const from = network.now;
    expect(greatestAge(network, 30_000)).toBeLessThan(REVOCATION_MS / 2);
    const perSecond = (1_000 * countCalls(network, 'confirm')) / (network.now - from);
    expect(perSecond).toBeLessThan(1.4);
  });

  it('the store gets at most a tenth more calls than without a time limit', () => {
    const calls = [undefined, REVOCATION_MS].map((keyRevocationMs) => {
      const network = createKeyNetwork(24, ZONES, keyRevocationMs);
      if (keyRevocationMs === undefined) {
        // The default of the parameter applies to undefined, so the limit is removed here.
        network.nodes.forEach(({ settings }) => {
          Reflect.deleteProperty(settings.bounds, 'keyRevocationMs');
        });
      }
      network.startAll();
      network.advance(60_000);
      return network.calls.length;
    });
    const [before = 0, after = 0] = calls;
    expect(after / before).toBeLessThan(1.1);
  });

  it('nothing is called, sent or set without tenants, or without a time limit', () => {
    const network = createKeyNetwork(6, ZONES);
    network.store.put('configuration', 'main', configurationOf(1));
    network.startAll();
    network.advance(SETTLED_MS);
    expect(countCalls(network, 'confirm')).toBe(0);
    expect(network.peerRequests).toBe(0);
    expect(network.nodes.every(({ timers }) => !timers.has('key-confirmation'))).toBe(true);
  });

  it('followers ask about once a second', () => {
    const network = settledNetwork(20, ['bole']);
    network.peerRequests = 0;
    network.advance(10_000);
    expect(network.peerRequests / 10 / 19).toBeLessThan(1.3);
  });
});

describe('at the start', () => {
  it('all gateways admit keys within some tens of milliseconds, also if all restart at once', () => {
    const network = settledNetwork(24);
    network.nodes.forEach((node) => network.kill(node));
    network.advance(1_000);
    network.startAll();
    network.advance(START_MS);
    expect(network.nodes.filter((node) => !admitsKey(node, network))).toEqual([]);
    expect(network.nodes.every(({ state }) => state.ready)).toBe(true);
  });

  it('a stale list confirms nothing: a key that it still has is not admitted', () => {
    const network = settledNetwork();
    const [node] = network.nodes as [VirtualNode];
    network.kill(node);
    const stale = network.store.list({
      type: 'list',
      collection: 'configuration',
      stale: true,
      timeoutMs: 1,
    });
    network.put('configuration', 'main', keyedConfiguration(2, true));
    network.advance(REVOCATION_MS + 1);
    const list = network.store.list.bind(network.store);
    network.store.list = (call) =>
      call.stale && call.collection === 'configuration' ? stale : list(call);
    network.start(node);
    for (let step = 0; step < 300; step += 1) {
      network.advance(1);
      expect(admitsKey(node, network)).toBe(false);
    }
    expect(node.version).toBe(2);
    expect(node.state.ready).toBe(true);
  });

  it('a gateway that the store refuses is confirmed by other gateways', () => {
    const network = settledNetwork();
    const node = network.nodes.at(-1) as VirtualNode;
    network.kill(node);
    network.setStore(node, false);
    network.start(node);
    network.advance(8_000);
    expect(admitsKey(node, network)).toBe(true);
  });

  it('after tenants are first configured, all gateways confirm their keys soon', () => {
    const network = createKeyNetwork(12, ZONES);
    network.store.put('configuration', 'main', configurationOf(1));
    network.startAll();
    network.advance(SETTLED_MS);
    network.calls.splice(0);
    network.put('configuration', 'main', keyedConfiguration(2));
    network.advance(200);
    expect(network.nodes.filter((node) => !admitsKey(node, network))).toEqual([]);
    // Followers ask their readers; only readers call the store.
    expect(countCalls(network, 'confirm')).toBeLessThanOrEqual(ZONES.length + 1);
  });
});

describe('a store that is down', () => {
  it('lets no gateway admit keys beyond the limit, and they are not ready then', () => {
    const network = settledNetwork();
    network.setStoreDown(true);
    network.advance(1);
    const ms = timeUntilRefused(network, network.nodes);
    expect(ms).toBeGreaterThan(EXPECTED_MS * 0.8);
    expect(ms).toBeLessThan(REVOCATION_MS);
    network.advance(10);
    expect(network.nodes.every(({ state }) => !state.ready)).toBe(true);
    expect(network.nodes.every(({ state }) => state.servesPeers)).toBe(true);
  });

  it('confirms the keys again soon after it returns, and each change is logged once', () => {
    const network = settledNetwork();
    const logged: StateChange[] = [];
    network.onLog = (_node, change) => logged.push(change);
    network.setStoreDown(true);
    network.advance(12_000);
    network.setStoreDown(false);
    network.advance(2_000);
    expect(network.nodes.filter((node) => !admitsKey(node, network))).toEqual([]);
    const count = (name: string): number => logged.filter(({ event }) => event === name).length;
    expect(count('keys-unconfirmed')).toBe(network.nodes.length);
    expect(count('keys-confirmed')).toBe(network.nodes.length);
  });

  it('gets no more messages between gateways than a few a second from each', () => {
    const network = settledNetwork(24);
    network.setStoreDown(true);
    network.advance(10_000);
    network.peerRequests = 0;
    network.advance(10_000);
    expect(network.peerRequests / 10 / network.nodes.length).toBeLessThan(8);
  });
});

describe('a store that refuses one gateway only', () => {
  it('does not stop that gateway from admitting keys, whether it reads or follows', () => {
    const network = settledNetwork();
    const { reader, follower } = rolesIn(network, 'bole');
    network.setStore(reader, false);
    network.setStore(follower, false);
    expect(greatestAge(network, 20_000)).toBeLessThan(EXPECTED_MS);
  });

  it('does not stop the only gateway of a zone', () => {
    const network = settledNetwork(3);
    const [node] = network.nodes as [VirtualNode];
    network.setStore(node, false);
    expect(greatestAge(network, 20_000)).toBeLessThan(EXPECTED_MS);
  });

  it('does not stop others if it is the gateway that reads for all zones', () => {
    const network = settledNetwork();
    for (const node of network.nodes) {
      network.setStore(node, false);
      expect(greatestAge(network, 6_000)).toBeLessThan(EXPECTED_MS);
      network.setStore(node, true);
      network.advance(5_000);
    }
  });
});

describe('a reader that fails', () => {
  it.each(ZONES)('in zone %s by ending: the others are confirmed in time', (zone) => {
    const network = settledNetwork();
    const { reader } = rolesIn(network, zone);
    network.kill(reader);
    expect(greatestAge(network, 15_000, others(network, reader))).toBeLessThan(EXPECTED_MS);
  });

  it.each(ZONES)('in zone %s by standing still: the others are confirmed in time', (zone) => {
    const network = settledNetwork();
    const { reader } = rolesIn(network, zone);
    network.holdsUpdatesOfCutLinks = true;
    network.pauseProcess(reader, 12_000);
    expect(greatestAge(network, 11_990, others(network, reader))).toBeLessThan(EXPECTED_MS);
    network.advance(500);
    expect(admitsKey(reader, network)).toBe(true);
  });

  it('by standing still for the whole tier but one follower: its old answer confirms nothing new', () => {
    const network = settledNetwork(2, ['bole']);
    const { reader, follower } = rolesIn(network, 'bole');
    network.setStore(follower, false);
    network.advance(1);
    network.pauseProcess(reader, 30_000);
    network.advance(500);
    network.put('configuration', 'main', keyedConfiguration(2, true));
    expect(timeUntilRefused(network, [follower])).toBeLessThan(REVOCATION_MS);
    network.advance(30_000);
    expect(admitsKey(follower, network)).toBe(false);
    expect(follower.version).toBe(2);
  });
});

describe('messages', () => {
  it('whose answer is late confirm only from when they were sent', () => {
    const network = settledNetwork(2, ['bole']);
    const { reader, follower } = rolesIn(network, 'bole');
    network.setStore(follower, false);
    network.peerDelayMs = (from) => (from === reader ? 4_000 : 0);
    network.advance(6_000);
    const revokedAt = network.now;
    network.setStore(reader, false);
    network.put('configuration', 'main', keyedConfiguration(2, true));
    timeUntilRefused(network, [follower]);
    expect(network.now - revokedAt).toBeLessThan(REVOCATION_MS);
  });

  it('that arrive after the link was cut for a long time confirm nothing', () => {
    const network = settledNetwork();
    network.holdsUpdatesOfCutLinks = true;
    const { follower } = rolesIn(network, 'arada');
    cutOff(network, follower);
    network.put('configuration', 'main', keyedConfiguration(2, true));
    network.advance(3_000);
    network.advance(REVOCATION_MS * 2);
    others(network, follower).forEach((each) => network.setStore(each, false));
    network.healAll();
    for (let step = 0; step < 200; step += 1) {
      network.advance(1);
      expect(admitsKey(follower, network)).toBe(false);
    }
  });
});

describe('a gateway that was cut off', () => {
  it('does not admit a revoked key beyond the limit', () => {
    const network = settledNetwork();
    const { reader, follower } = rolesIn(network, 'hall');
    cutOff(network, follower);
    cutOff(network, reader);
    network.put('configuration', 'main', keyedConfiguration(2, true));
    expect(timeUntilRefused(network, [follower, reader])).toBeLessThan(REVOCATION_MS);
  });

  it('is confirmed again soon after the link is healed', () => {
    const network = settledNetwork();
    const { follower } = rolesIn(network, 'hall');
    cutOff(network, follower);
    network.advance(8_000);
    expect(admitsKey(follower, network)).toBe(false);
    network.healAll();
    network.setStore(follower, true);
    network.advance(4_000);
    expect(admitsKey(follower, network)).toBe(true);
  });

  it('together with its zone keeps admitting keys where the zone reaches the store', () => {
    const network = settledNetwork();
    const zone = network.nodes.filter(({ settings }) => settings.zone === 'bole');
    const rest = network.nodes.filter(({ settings }) => settings.zone !== 'bole');
    zone.forEach((left) => rest.forEach((right) => network.setCut(left, right, true)));
    expect(greatestAge(network, 6_000)).toBeLessThan(EXPECTED_MS + 500);
    network.healAll();
    expect(greatestAge(network, 6_000)).toBeLessThan(EXPECTED_MS + 500);
  });
});

describe('a gateway whose process was paused', () => {
  // A suspension of the machine looks the same: the gateway's clock counts it.
  it.each(['reader', 'follower'] as const)(
    'as a %s does not admit a key that was revoked before, and is soon confirmed again',
    (role) => {
      const network = settledNetwork();
      const node = rolesIn(network, 'bole')[role];
      network.pauseProcess(node, 9_000);
      network.advance(2_000);
      network.put('configuration', 'main', keyedConfiguration(2, true));
      network.advance(7_000);
      for (let step = 0; step < 100; step += 1) {
        expect(admitsKey(node, network)).toBe(false);
        network.advance(1);
      }
      network.put('configuration', 'main', keyedConfiguration(3));
      network.advance(4_000);
      expect(admitsKey(node, network)).toBe(true);
    },
  );

  it('counts a confirming read that was answered during the pause from when it was sent', () => {
    const network = settledNetwork(1, ['bole']);
    const [node] = network.nodes as [VirtualNode];
    const before = countCalls(network, 'confirm');
    while (countCalls(network, 'confirm') === before) {
      network.advance(1);
    }
    network.pauseProcess(node, 7_000);
    network.advance(1_000);
    network.setStore(node, false);
    network.put('configuration', 'main', keyedConfiguration(2, true));
    network.advance(6_000);
    for (let step = 0; step < 100; step += 1) {
      expect(admitsKey(node, network)).toBe(false);
      network.advance(1);
    }
  });

  it('keeps the age of its confirmation if nobody else can be reached', () => {
    const network = settledNetwork();
    const { follower } = rolesIn(network, 'bole');
    const before = follower.state.keyConfirmation.confirmedAt;
    cutOff(network, follower);
    network.pauseProcess(follower, 9_000);
    network.advance(9_300);
    expect(follower.state.keyConfirmation.confirmedAt).toBe(before);
    expect(admitsKey(follower, network)).toBe(false);
  });
});

describe('a store that is restored from a backup', () => {
  it('confirms only when it shows the configuration in force again', () => {
    const network = settledNetwork();
    network.store.era = 1;
    network.advance(2_000);
    const backup = network.store.backup();
    network.put('configuration', 'main', keyedConfiguration(2));
    network.advance(3_000);
    network.restoreStore(backup);
    const restoredAt = network.now;
    network.advance(4_000);
    for (const { state } of network.nodes) {
      expect(state.inForce?.configuration.version).toBe(2);
      expect(state.keyConfirmation.confirmedAt).toBeLessThanOrEqual(restoredAt);
    }
    network.advance(REVOCATION_MS);
    expect(network.nodes.some((node) => admitsKey(node, network))).toBe(false);
    network.put('configuration', 'main', keyedConfiguration(3));
    network.advance(3_000);
    expect(network.nodes.every((node) => admitsKey(node, network))).toBe(true);
  });
});

describe('a store that was restored and in which the operator writes a lost version again', () => {
  const restoredNetwork = () => {
    const network = settledNetwork();
    network.store.era = 1;
    network.advance(2_000);
    const backup = network.store.backup();
    network.put('configuration', 'main', keyedConfiguration(2));
    network.advance(3_000);
    network.restoreStore(backup);
    network.advance(1_000);
    return network;
  };

  it('revokes a key that the version has lost, also at gateways that a new gateway confirms', () => {
    const network = restoredNetwork();
    const [last] = network.nodes.slice(-1) as [VirtualNode];
    network.kill(last);
    network.put('configuration', 'main', keyedConfiguration(2, true));
    network.start(last);
    network.advance(REVOCATION_MS);
    for (let step = 0; step < 1_000; step += 1) {
      network.advance(STEP_MS);
      expect(network.nodes.some((node) => admitsKey(node, network))).toBe(false);
    }
    network.put('configuration', 'main', keyedConfiguration(3));
    network.advance(3_000);
    expect(network.nodes.every((node) => admitsKey(node, network))).toBe(true);
  });

  it('is confirmed where the version has the same keys', () => {
    const network = restoredNetwork();
    network.put('configuration', 'main', keyedConfiguration(2));
    network.advance(REVOCATION_MS);
    expect(network.nodes.every((node) => admitsKey(node, network))).toBe(true);
  });
});

describe('a configuration in the store that cannot be read', () => {
  const UNREADABLE = { version: 2, isUnreadable: true } as const;

  it('does not stop gateways from admitting keys of the last readable one', () => {
    const network = settledNetwork();
    network.put('configuration', 'main', UNREADABLE);
    expect(greatestAge(network, 20_000)).toBeLessThan(REVOCATION_MS * 0.9);
    expect(network.nodes.every((node) => admitsKey(node, network))).toBe(true);
    network.put('configuration', 'main', { version: 3, isUnreadable: true });
    expect(greatestAge(network, 20_000)).toBeLessThan(REVOCATION_MS * 0.9);
  });

  it('does not stop them if it is written shortly after another one', () => {
    const network = settledNetwork();
    network.put('configuration', 'main', keyedConfiguration(2));
    network.advance(700);
    network.put('configuration', 'main', { version: 3, isUnreadable: true });
    greatestAge(network, 20_000);
    expect(network.nodes.every((node) => admitsKey(node, network))).toBe(true);
  });

  it('confirms nothing at gateways that may have missed a readable one without the key', () => {
    const network = settledNetwork();
    network.nodes.forEach((node) => network.setStore(node, false));
    network.put('configuration', 'main', keyedConfiguration(2, true));
    network.put('configuration', 'main', { version: 3, isUnreadable: true });
    network.discardHistory();
    network.nodes.forEach((node) => network.setStore(node, true));
    network.advance(REVOCATION_MS);
    for (let step = 0; step < 1_000; step += 1) {
      network.advance(STEP_MS);
      expect(network.nodes.some((node) => admitsKey(node, network))).toBe(false);
    }
  });
});

describe('a configuration that a confirming read shows first', () => {
  it('is read and put into force, and confirmed as of that read', () => {
    const network = settledNetwork(1, ['bole']);
    const [node] = network.nodes as [VirtualNode];
    network.withholdChanges();
    network.put('configuration', 'main', keyedConfiguration(2, true));
    network.advance(1_600);
    expect(node.version).toBe(2);
    expect(confirmationAge(node, network)).toBeLessThan(1_600);
    expect(admitsKey(node, network)).toBe(false);
  });
});
