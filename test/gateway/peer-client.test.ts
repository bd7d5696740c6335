import { once } from 'node:events';
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { GatewayEvent } from '../../src/gateway/event.js';
import type { PeerRecord } from '../../src/gateway/model/peer-record.js';
import { CallerRequests } from '../../src/gateway/runtime/caller-requests.js';
import { PeerClient } from '../../src/gateway/runtime/peers/peer-client.js';
import { PeerConnection } from '../../src/gateway/runtime/peers/peer-connection.js';
import { platformProtocol } from '../../platform/protocol.js';

const clock = { now: () => performance.now() };

let server: Server;
let events: GatewayEvent[];
let client: PeerClient;
let peer: PeerRecord;
let isServing: boolean;
let answersPings: boolean;
let sockets: Socket[];

/** Accepts a connection as a peer that answers pings and no subqueries. */
const accept = (socket: Socket): void => {
  sockets.push(socket);
  const connection: PeerConnection = new PeerConnection(socket, clock, {
    onMessage: ({ type }) => {
      if (type === 'ping' && answersPings) {
        connection.send({ type: 'pong', isServing });
      }
    },
    onClosed: () => undefined,
  });
};

beforeEach(async () => {
  sockets = [];
  events = [];
  isServing = true;
  answersPings = true;
  server = createServer(accept);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  peer = { name: 'front-2', zone: 'bole', address: { host: '127.0.0.1', port }, capacity: 1 };
  client = new PeerClient({
    requests: new CallerRequests(platformProtocol.headers),
    node: 'front-1',
    clock,
    sink: { emit: (event) => events.push(event) },
  });
});

afterEach(() => {
  client.destroy();
  sockets.forEach((socket) => socket.destroy());
  server.close();
});

const untilEvent = async (type: GatewayEvent['type']): Promise<void> => {
  for (let polls = 0; !events.some((event) => event.type === type); polls += 1) {
    if (polls > 1_000) {
      throw new Error(`timed out waiting for ${type}`);
    }
    await delay(10);
  }
};

describe('a suspected peer', () => {
  it('is trusted once it reports that it is serving', async () => {
    client.check(peer);
    await untilEvent('peer-alive');
  });

  it('is not trusted while it is stopping', async () => {
    isServing = false;
    client.check(peer);
    await delay(1_700);
    expect(events).toEqual([]);
    isServing = true;
    await untilEvent('peer-alive');
  });

  it('must answer more often if it fails again', async () => {
    client.check(peer);
    await untilEvent('peer-alive');
    events.splice(0);
    const began = performance.now();
    client.check(peer);
    await untilEvent('peer-alive');
    expect(performance.now() - began).toBeGreaterThan(500);
  });
});

describe('a connection to a peer', () => {
  it('is closed as silent if nothing is received over it', async () => {
    answersPings = false;
    client.preconnect(peer);
    await untilEvent('peer-lost');
    expect(events).toMatchObject([{ type: 'peer-lost', peer: 'front-2', problem: 'silent' }]);
  });

  it('is replaced if it goes silent, and the peer is trusted again over the new one', async () => {
    answersPings = false;
    client.check(peer);
    await delay(700);
    expect(sockets).toHaveLength(1);
    await once(server, 'connection');
    answersPings = true;
    await untilEvent('peer-alive');
    expect(events[0]).toMatchObject({ type: 'peer-lost', problem: 'silent' });
  });

  it('reports the peer as unreachable if it cannot be opened', async () => {
    server.close();
    client.preconnect({ ...peer, address: { host: '127.0.0.1', port: 1 } });
    await untilEvent('peer-lost');
    expect(events).toMatchObject([{ type: 'peer-lost', problem: 'unreachable' }]);
  });
});
