import { beforeEach, describe, expect, it } from 'vitest';
import { identifier, type NodeId } from '../../src/core/identifiers.js';
import { createRandom } from '../../src/core/random.js';
import type { MembershipMessage } from '../../src/protocol/membership-messages.js';
import type { LinkMessage } from '../../src/protocol/peer-message.js';
import {
  HEALTHY_NETWORK,
  type NetworkConditions,
} from '../../src/simulation/network-conditions.js';
import type { NetworkEndpoint } from '../../src/simulation/network-endpoint.js';
import { Scheduler } from '../../src/simulation/scheduler.js';
import { VirtualNetwork } from '../../src/simulation/virtual-network.js';

class Recorder implements NetworkEndpoint {
  readonly address;
  processNumber = 1;
  isUp = true;
  readonly datagrams: number[] = [];
  readonly messages: number[] = [];
  readonly lost: string[] = [];

  constructor(
    readonly name: NodeId,
    readonly zone: string,
  ) {
    this.address = { host: name, port: 1 };
  }

  receiveDatagram(message: MembershipMessage): void {
    this.datagrams.push(message.type === 'gossip' ? -1 : message.sequence);
  }

  receiveLinkMessage(_from: NodeId, message: LinkMessage): void {
    this.messages.push(message.type === 'configuration-pull' ? message.after : -1);
  }

  handleLinkLost(peer: NodeId): void {
    this.lost.push(peer);
  }
}

const CONDITIONS: NetworkConditions = {
  ...HEALTHY_NETWORK,
  betweenZones: { latencyMs: 1, jitterMs: 20, lossShare: 0.2, duplicateShare: 0.2 },
};

describe('VirtualNetwork', () => {
  let scheduler: Scheduler;
  let network: VirtualNetwork;
  let first: Recorder;
  let second: Recorder;

  beforeEach(() => {
    scheduler = new Scheduler();
    network = new VirtualNetwork({ scheduler, random: createRandom(3), conditions: CONDITIONS });
    first = new Recorder(identifier('first'), 'north');
    second = new Recorder(identifier('second'), 'south');
    network.add(first);
    network.add(second);
  });

  const send = (from: Recorder, to: Recorder, after: number): void => {
    network.sendLink(from, to.address, to.name, { type: 'configuration-pull', after });
  };

  const sendDatagram = (sequence: number): void => {
    const sender = {
      node: first.name,
      zone: identifier<never>('north'),
      region: 'region',
      address: first.address,
      incarnation: 1,
    };
    network.sendDatagram(first, second.address, { type: 'ping', sender, sequence, updates: [] });
  };

  it('loses, duplicates and reorders datagrams', () => {
    for (let sequence = 0; sequence < 200; sequence += 1) {
      sendDatagram(sequence);
    }
    scheduler.runUntil(100);
    const distinct = new Set(second.datagrams);
    expect(distinct.size).toBeLessThan(200);
    expect(second.datagrams.length).toBeGreaterThan(distinct.size);
    expect(second.datagrams).not.toEqual([...second.datagrams].sort((a, b) => a - b));
  });

  it('delivers messages over a link in order and without loss', () => {
    const sent = Array.from({ length: 100 }, (_, index) => index);
    sent.forEach((index) => {
      send(first, second, index);
    });
    scheduler.runUntil(100);
    expect(second.messages).toEqual(sent);
    expect(first.lost).toEqual([]);
  });

  it('reports a cut to both ends after the link timeout and loses messages sent meanwhile', () => {
    send(first, second, 1);
    scheduler.runUntil(50);
    network.reachability.cutZones('north', 'south');
    send(first, second, 2);
    scheduler.runUntil(100);
    network.reachability.healAll();
    send(first, second, 3);
    expect([first.lost, second.lost]).toEqual([[], []]);
    scheduler.runUntil(100 + CONDITIONS.linkTimeoutMs);
    expect([first.lost, second.lost]).toEqual([['second'], ['first']]);
    send(first, second, 4);
    scheduler.runUntil(10_000);
    expect(second.messages).toEqual([1, 4]);
  });

  it('reports the end of a process to its peer immediately, but not to its successor', () => {
    send(first, second, 1);
    scheduler.runUntil(50);
    second.isUp = false;
    network.closeLinksOf('second');
    second.isUp = true;
    second.processNumber = 2;
    scheduler.runUntil(60);
    expect(first.lost).toEqual(['second']);
    expect(second.lost).toEqual([]);
  });

  it('reports a lost link when another node listens at the address', () => {
    network.sendLink(first, second.address, identifier('stranger'), {
      type: 'configuration-pull',
      after: 0,
    });
    scheduler.runUntil(10);
    expect(first.lost).toEqual(['stranger']);
    expect(second.messages).toEqual([]);
  });
});
