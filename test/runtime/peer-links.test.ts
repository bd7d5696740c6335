import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import type { Event } from '../../src/core/event.js';
import { identifier, type NodeId } from '../../src/core/identifiers.js';
import { encodeCbor } from '../../src/protocol/codec/cbor.js';
import { FrameReader } from '../../src/protocol/codec/frame-reader.js';
import { encodeFrame } from '../../src/protocol/codec/frame.js';
import { MAX_FRAME_BYTES } from '../../src/protocol/codec/link-frame.js';
import type { LinkMessage } from '../../src/protocol/peer-message.js';
import { createMonotonicClock, type MonotonicClock } from '../../src/runtime/monotonic-clock.js';
import { ConnectorHandshake } from '../../src/runtime/peer/handshake.js';
import { MAX_SEND_QUEUE_BYTES } from '../../src/runtime/peer/link.js';
import { DEFAULT_LINK_TIMING, type LinkTiming } from '../../src/runtime/peer/link-timing.js';
import { PeerLinks } from '../../src/runtime/peer/peer-links.js';
import { SharedSecret } from '../../src/runtime/peer/shared-secret.js';
import { PEER_SECRET, until } from './node-fixture.js';

const closers: (() => void)[] = [];

afterEach(() => {
  closers.splice(0).forEach((close) => close());
});

interface Member {
  readonly node: NodeId;
  readonly links: PeerLinks;
  readonly events: Event[];
  readonly port: number;
  readonly server: Server;
  readonly sockets: Set<Socket>;
}

interface MemberOptions {
  readonly secret?: string;
  readonly timing?: Partial<LinkTiming>;
  readonly port?: number;
  readonly clock?: MonotonicClock;
}

const listen = (server: Server, port = 0): Promise<number> =>
  new Promise((resolve) => {
    server.listen(port, '127.0.0.1', () => resolve((server.address() as AddressInfo).port));
  });

const startMember = async (name: string, options: MemberOptions = {}): Promise<Member> => {
  const node = identifier<NodeId>(name);
  const events: Event[] = [];
  const sockets = new Set<Socket>();
  const links = new PeerLinks(
    {
      self: node,
      secret: new SharedSecret(options.secret ?? PEER_SECRET),
      sink: { emit: (event) => events.push(event) },
      clock: options.clock ?? createMonotonicClock(),
      log: () => undefined,
    },
    { ...DEFAULT_LINK_TIMING, ...options.timing },
  );
  const server = createServer((socket) => {
    sockets.add(socket);
    links.accept(socket);
  });
  const port = await listen(server, options.port);
  closers.push(() => {
    links.destroy();
    server.close();
  });
  return { node, links, events, port, server, sockets };
};

const pull = (after: number): LinkMessage => ({ type: 'configuration-pull', after });

const send = (from: Member, to: Member, message: LinkMessage, port = to.port): void => {
  const address = { host: '127.0.0.1', port };
  from.links.send({ type: 'send-link', to: to.node, address, message });
};

const messagesOf = (member: Member): LinkMessage[] =>
  member.events.flatMap((event) => (event.type === 'link-message-arrived' ? event.message : []));

const lostLinksOf = (member: Member): string[] =>
  member.events.flatMap((event) => (event.type === 'link-lost' ? event.peer : []));

interface Proxy {
  readonly port: number;
  /** Chunks forwarded so far, to the target and from it. */
  readonly forwarded: { to: number; from: number };
  readonly stall: () => void;
}

/** Forwards bytes until `stall` is called; then both connections stay open without data. */
const startProxy = async (target: number): Promise<Proxy> => {
  const sockets: Socket[] = [];
  const forwarded = { to: 0, from: 0 };
  let stalled = false;
  const forward = (socket: Socket, chunk: Buffer, direction: 'to' | 'from'): void => {
    if (!stalled) {
      forwarded[direction] += 1;
      socket.write(chunk);
    }
  };
  const server = createServer((incoming) => {
    const outgoing = connect(target, '127.0.0.1');
    sockets.push(incoming, outgoing);
    incoming.on('error', () => undefined);
    outgoing.on('error', () => undefined);
    incoming.on('data', (chunk: Buffer) => forward(outgoing, chunk, 'to'));
    outgoing.on('data', (chunk: Buffer) => forward(incoming, chunk, 'from'));
  });
  const port = await listen(server);
  closers.push(() => {
    server.close();
    sockets.forEach((socket) => socket.destroy());
  });
  return {
    port,
    forwarded,
    stall: () => {
      stalled = true;
    },
  };
};

/** Sends raw bytes to a member and waits until it closes the connection. */
const sendRaw = (port: number, bytes: Buffer): Promise<void> =>
  new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1', () => socket.write(bytes));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve());
    socket.resume();
  });

/** Opens an authenticated connection over which a test can send frames that no node sends. */
const authenticate = async (member: Member, as: string): Promise<Socket> => {
  const handshake = new ConnectorHandshake(
    new SharedSecret(PEER_SECRET),
    identifier<NodeId>(as),
    member.node,
  );
  const reader = new FrameReader(MAX_FRAME_BYTES);
  const socket = connect(member.port, '127.0.0.1');
  closers.push(() => socket.destroy());
  socket.on('error', () => undefined);
  socket.write(encodeFrame(handshake.begin()));
  await new Promise<void>((resolve) => {
    socket.once('data', (chunk) => {
      const reading = reader.read(chunk);
      const [body = Buffer.alloc(0)] = reading.type === 'frames' ? reading.bodies : [];
      const next = handshake.handleFrame(body).unsafeCoerce();
      socket.write(encodeFrame(next.body ?? Buffer.alloc(0)), () => resolve());
    });
  });
  return socket;
};

describe('a link between nodes', () => {
  it('receives a long first message in the same chunk as the last handshake frame', async () => {
    const [one, two] = [await startMember('one'), await startMember('two')];
    const long: LinkMessage = { type: 'leg-cancel', attempts: [identifier('a'.repeat(5_000))] };
    let handshake: Buffer | undefined;
    const joined = createServer((incoming) => {
      const outgoing = connect(two.port, '127.0.0.1');
      closers.push(() => [incoming, outgoing].forEach((socket) => socket.destroy()));
      outgoing.on('data', (chunk) => incoming.write(chunk));
      incoming.on('data', (chunk) => {
        if (handshake === undefined) {
          handshake = chunk;
          outgoing.write(chunk);
        } else if (held.length + chunk.length > 5_000) {
          outgoing.write(Buffer.concat([held, chunk]));
        } else {
          held = Buffer.concat([held, chunk]);
        }
      });
    });
    let held: Buffer = Buffer.alloc(0);
    closers.push(() => joined.close());
    send(one, two, long, await listen(joined));
    const seen = (): number => messagesOf(two).length + lostLinksOf(one).length;
    await until(() => seen() > 0, 'the message has arrived or the link is lost');
    expect(messagesOf(two)).toEqual([long]);
  });

  it('delivers messages in order, in both directions over one connection', async () => {
    const [a, b] = [await startMember('a'), await startMember('b')];
    [1, 2, 3].forEach((after) => send(a, b, pull(after)));
    await until(() => messagesOf(b).length === 3, 'all have arrived');
    send(b, a, pull(4));
    await until(() => messagesOf(a).length === 1, 'the answer has arrived');
    expect(messagesOf(b)).toEqual([pull(1), pull(2), pull(3)]);
    expect(a.sockets.size + b.sockets.size).toBe(1);
  });

  it('loses no message if both nodes connect at the same time', async () => {
    const [a, b] = [await startMember('a'), await startMember('b')];
    send(a, b, pull(1));
    send(b, a, pull(2));
    await until(() => messagesOf(a).length + messagesOf(b).length === 2, 'both have arrived');
    send(a, b, pull(3));
    send(b, a, pull(4));
    await until(() => messagesOf(a).length + messagesOf(b).length === 4, 'all have arrived');
    expect([...lostLinksOf(a), ...lostLinksOf(b)]).toEqual([]);
  });

  it('is refused between nodes with different secrets, and no message is delivered', async () => {
    const [a, otherSecret] = [
      await startMember('a'),
      await startMember('b', { secret: 'some-other-secret-here' }),
    ];
    send(otherSecret, a, pull(1));
    send(a, otherSecret, pull(2));
    await until(
      () => lostLinksOf(otherSecret).length > 0 && lostLinksOf(a).length > 0,
      'both nodes report the link as lost',
    );
    expect([...messagesOf(a), ...messagesOf(otherSecret)]).toEqual([]);
  });

  it('is refused if another node listens on the address', async () => {
    const [a, other] = [await startMember('a'), await startMember('c')];
    send(a, { ...other, node: identifier<NodeId>('b') }, pull(1));
    await until(() => lostLinksOf(a).includes('b'), 'the link to the old node is lost');
    expect(messagesOf(other)).toEqual([]);
  });

  it.each([
    ['another version', encodeCbor({ protocol: 99, from: 'x', to: 'a', nonce: Buffer.alloc(16) })],
    ['a list as hello', encodeCbor([1, 2, 3])],
    ['a message instead of a hello', encodeCbor([pull(1)])],
    ['a short nonce', encodeCbor({ protocol: 1, from: 'x', to: 'a', nonce: Buffer.alloc(2) })],
    ['a hello that is too long', Buffer.alloc(600)],
    ['a hello that is not CBOR', Buffer.from([0xff, 0xff, 0xff])],
  ])('is refused for %s, and other nodes are served', async (_name, body) => {
    const [a, b] = [await startMember('a'), await startMember('b')];
    await sendRaw(a.port, encodeFrame(body));
    send(b, a, pull(1));
    await until(() => messagesOf(a).length === 1, 'another node is served');
    expect(messagesOf(a)).toEqual([pull(1)]);
  });

  it('is closed if the peer sends no hello in time', async () => {
    const a = await startMember('a', { timing: { sweepIntervalMs: 10, handshakeTimeoutMs: 40 } });
    await sendRaw(a.port, Buffer.alloc(0));
    expect(a.events).toEqual([]);
  });

  it.each([
    ['oversized', Buffer.from([0xff, 0xff, 0xff, 0xff])],
    ['malformed', encodeFrame(encodeCbor([{ type: 'leg-batch' }]))],
  ])(
    'is closed on receipt of a frame that is %s, and other nodes are served',
    async (_name, bytes) => {
      const [a, b] = [await startMember('a'), await startMember('b')];
      const socket = await authenticate(a, 'x');
      const closed = new Promise<void>((resolve) => socket.once('close', () => resolve()));
      socket.write(bytes);
      await closed;
      await until(() => lostLinksOf(a).includes('x'), 'the link is reported as lost');
      send(b, a, pull(1));
      await until(() => messagesOf(a).length === 1, 'another node is served');
    },
  );

  it('is reported as lost by both sides if the connection is half-open', async () => {
    const timing = {
      sweepIntervalMs: 5,
      heartbeatIntervalMs: 40,
      receiveTimeoutMs: 200,
      processPauseMs: 10_000,
    };
    let now = 0;
    const clock = { now: () => now };
    const a = await startMember('a', { timing, clock });
    const b = await startMember('b', { timing, clock });
    const proxy = await startProxy(b.port);
    send(a, b, pull(1), proxy.port);
    await until(() => messagesOf(b).length === 1, 'the link is open');
    for (const end = now + 2 * timing.receiveTimeoutMs; now < end;) {
      const { to, from } = { ...proxy.forwarded };
      now += timing.heartbeatIntervalMs;
      const wasHeard = (): boolean => proxy.forwarded.to > to && proxy.forwarded.from > from;
      await until(wasHeard, 'heartbeats are sent in both directions');
    }
    expect([...lostLinksOf(a), ...lostLinksOf(b)]).toEqual([]);
    proxy.stall();
    // Bytes in transit may still arrive, so the timeout may start a little later than the stall.
    const haveBothNoticed = (): boolean => {
      now += timing.heartbeatIntervalMs;
      return lostLinksOf(a).includes('b') && lostLinksOf(b).includes('a');
    };
    await until(haveBothNoticed, 'both nodes report the link as lost');
  });

  it('is closed without a loss when idle, and opened again on demand', async () => {
    const timing = {
      sweepIntervalMs: 10,
      idleCloseMs: 80,
      heartbeatIntervalMs: 20,
      processPauseMs: 10_000,
    };
    const [a, b] = [await startMember('a', { timing }), await startMember('b', { timing })];
    send(a, b, pull(1));
    await until(() => messagesOf(b).length === 1, 'the link is open');
    await until(() => a.links.openLinks + b.links.openLinks === 0, 'the link is closed');
    send(b, a, pull(2));
    await until(() => messagesOf(a).length === 1, 'a new link is open');
    expect([...lostLinksOf(a), ...lostLinksOf(b)]).toEqual([]);
  });

  it('is reported as lost at once if the node is down, and opens again after its restart', async () => {
    const [a, b] = [await startMember('a'), await startMember('b')];
    b.links.destroy();
    await new Promise((resolve) => b.server.close(resolve));
    send(a, b, pull(1));
    await until(() => lostLinksOf(a).length > 0, 'the loss is reported');
    const again = await startMember('b', { port: b.port });
    await until(() => {
      send(a, again, pull(2));
      return messagesOf(again).length > 0;
    }, 'the link is open again');
  });

  it('is closed if the peer reads slower than messages are sent', async () => {
    const [a, b] = [await startMember('a'), await startMember('b')];
    send(a, b, pull(0));
    await until(() => messagesOf(b).length === 1, 'the link is open');
    b.sockets.forEach((socket) => socket.pause());
    const attempts = Array.from({ length: 100_000 }, (_, index) => `attempt-${index}-of-many`);
    for (let sent = 0; sent <= 4 * MAX_SEND_QUEUE_BYTES && lostLinksOf(a).length === 0;) {
      send(a, b, { type: 'leg-cancel', attempts: attempts as never });
      sent += attempts.length * 20;
      await delay(1);
    }
    expect(lostLinksOf(a)).toEqual(['b']);
  });
});
