import { connect, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { GatewayEvent } from '../../src/gateway/event.js';
import type { ReaderUpdate } from '../../src/gateway/readers/reader-update.js';
import { CallerRequests } from '../../src/gateway/runtime/caller-requests.js';
import { PeerConnection } from '../../src/gateway/runtime/peers/peer-connection.js';
import type { PeerMessage } from '../../src/gateway/runtime/peers/peer-message.js';
import { PeerPort } from '../../src/gateway/runtime/peers/peer-port.js';
import { platformProtocol } from '../../platform/protocol.js';
import { freeAddress } from '../platform/gateway-fixture.js';
import { configurationOf } from './virtual-store.js';

const clock = { now: () => performance.now() };

let port: PeerPort;
let address: { host: string; port: number };
let events: GatewayEvent[];
let sockets: Socket[];

const PORT_ATTEMPTS = 5;

/** Listens on a port chosen by the kernel; uses another one if a concurrent test has taken it meanwhile. */
const listen = async (attemptsLeft = PORT_ATTEMPTS): Promise<void> => {
  address = await freeAddress();
  try {
    await port.listen(address);
  } catch (error) {
    if (attemptsLeft <= 1) {
      throw error;
    }
    await listen(attemptsLeft - 1);
  }
};

beforeEach(async () => {
  events = [];
  sockets = [];
  const requests = new CallerRequests(platformProtocol.headers);
  port = new PeerPort({ requests, clock, sink: { emit: (event) => events.push(event) } });
  await listen();
});

afterEach(() => {
  sockets.forEach((socket) => socket.destroy());
  port.destroy();
});

const follow = (received: PeerMessage[]): PeerConnection => {
  const socket = connect(address);
  sockets.push(socket);
  const connection = new PeerConnection(socket, clock, {
    onMessage: (message) => received.push(message),
    onClosed: () => undefined,
  });
  connection.send({ type: 'follow', revisions: { configuration: 7 } });
  return connection;
};

const until = async (condition: () => boolean): Promise<void> => {
  for (let polls = 0; !condition(); polls += 1) {
    if (polls > 1_000) {
      throw new Error('timed out waiting for a condition');
    }
    await delay(5);
  }
};

const typesOf = (): readonly string[] => events.map(({ type }) => type);

describe('a follower', () => {
  it('receives updates until it unfollows', async () => {
    const received: PeerMessage[] = [];
    const connection = follow(received);
    await until(() => typesOf().includes('follower-joined'));
    const [joined] = events;
    const followers = joined?.type === 'follower-joined' ? [joined.follower] : [];
    expect(joined).toMatchObject({
      positions: { configuration: { era: undefined, revision: 7 } },
    });
    const news: ReaderUpdate = {
      type: 'snapshot',
      collection: 'configuration',
      objects: [{ name: 'main', gone: false, value: configurationOf(8) }],
      revision: 8,
    };
    port.sendUpdate({ type: 'send-reader-update', followers, news });
    await until(() => received.length === 1);
    expect(received).toEqual([{ type: 'news', news }]);
    connection.send({ type: 'unfollow' });
    await until(() => typesOf().includes('follower-left'));
    port.sendUpdate({ type: 'send-reader-update', followers, news });
    await delay(50);
    expect(received).toHaveLength(1);
  });

  it('is removed when its connection closes', async () => {
    follow([]).close();
    sockets[0]?.destroy();
    const secondConnection = follow([]);
    await until(() => typesOf().includes('follower-joined'));
    secondConnection.close();
    await until(() => typesOf().includes('follower-left'));
  });
});
