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

/** A peer that answers pings and takes no subquery. */
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
  for (let tries = 0; !events.some((event) => event.type === type); tries += 1) {
    if (tries > 1_000) {
      throw new Error(`waited in vain for ${type}`);
    }
    await delay(10);
  }
};

describe('a peer that was passed over', () => {
  it('is trusted once it says that it serves', async () => {
    client.check(peer);
    await untilEvent('peer-alive');
  });

  it('is not trusted while it stops', async () => {
    isServing = false;
    client.check(peer);
    await delay(1_700);
    expect(events).toEqual([]);
    isServing = true;
    await untilEvent('peer-alive');
  });

  it('must answer more often when it fails again', async () => {
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
  it('on which nothing comes back is given up as silent', async () => {
    answersPings = false;
    client.preconnect(peer);
    await untilEvent('peer-lost');
    expect(events).toMatchObject([{ type: 'peer-lost', peer: 'front-2', problem: 'silent' }]);
  });

  it('that goes silent is replaced by another one, over which the peer is trusted again', async () => {
    answersPings = false;
    client.check(peer);
    await delay(700);
    expect(sockets).toHaveLength(1);
    await once(server, 'connection');
    answersPings = true;
    await untilEvent('peer-alive');
    expect(events[0]).toMatchObject({ type: 'peer-lost', problem: 'silent' });
  });

  it('that cannot be opened tells so', async () => {
    server.close();
    client.preconnect({ ...peer, address: { host: '127.0.0.1', port: 1 } });
    await untilEvent('peer-lost');
    expect(events).toMatchObject([{ type: 'peer-lost', problem: 'unreachable' }]);
  });
});
