import { once } from 'node:events';
import { createServer, type Server, type Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { Worker } from 'node:worker_threads';
import { afterEach, describe, expect, it } from 'vitest';
import type { SendAttempt } from '../../src/core/effect.js';
import type { Event } from '../../src/core/event.js';
import { identifier } from '../../src/core/identifiers.js';
import type { LegResult } from '../../src/protocol/leg-messages.js';
import { createMonotonicClock } from '../../src/runtime/monotonic-clock.js';
import { MAX_ANSWER_BYTES } from '../../src/runtime/replica/attempt-handler.js';
import { ReplicaClient } from '../../src/runtime/replica/replica-client.js';
import {
  answerAtOnce,
  type FakeReplica,
  goodAnswer,
  type LegAnswerer,
  startFakeReplica,
} from './fake-replica.js';
import { until } from './node-fixture.js';

const closers: (() => void)[] = [];

afterEach(() => {
  closers.splice(0).forEach((close) => close());
});

interface Fixture {
  readonly client: ReplicaClient;
  readonly results: LegResult[];
  readonly events: Event[];
}

const createFixture = (): Fixture => {
  const events: Event[] = [];
  const results: LegResult[] = [];
  const emit = (event: Event): void => {
    events.push(event);
    results.push(...(event.type === 'attempts-ended' ? event.results : []));
  };
  const client = new ReplicaClient(createMonotonicClock(), { emit });
  closers.push(() => client.destroy());
  return { client, results, events };
};

const startReplica = async (answer?: LegAnswerer): Promise<FakeReplica> => {
  const replica = await startFakeReplica(answer);
  closers.push(() => replica.close());
  return replica;
};

/** A replica on a thread of its own, which answers every leg after 20 ms also while this thread stands still. */
const startReplicaThread = async (): Promise<number> => {
  const code = `
    const { parentPort, workerData } = require('node:worker_threads');
    const server = require('node:http').createServer((request, response) => {
      setTimeout(() => response.end(workerData), 20);
    });
    server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
  `;
  const thread = new Worker(code, { eval: true, workerData: goodAnswer(LEG) });
  closers.push(() => void thread.terminate());
  const [port] = (await once(thread, 'message')) as [number];
  return port;
};

/** Keeps this thread from running anything else. */
const blockThread = (ms: number): void => {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
};

const attemptTo = (port: number, changes: { attempt?: string } & Partial<SendAttempt> = {}) => {
  const { attempt = 'a-1', ...rest } = changes;
  return {
    type: 'send-attempt',
    context: {
      request: identifier('q-1'),
      partner: identifier('ensemble'),
      route: identifier('roster'),
      kind: identifier('page'),
      snapshot: 1,
      safeToRepeat: true,
      maxItems: 10,
      payload: null,
    },
    leg: {
      attempt: identifier(attempt),
      shard: identifier('s-0'),
      replica: identifier('r-0'),
    },
    replica: {
      replica: identifier('r-0'),
      zone: identifier('bole'),
      host: '127.0.0.1',
      port,
      slots: 4,
      connections: 8,
      lifecycle: 'ready',
      snapshots: [1],
    },
    remainingMs: 5_000,
    connections: 8,
    ...rest,
  } as SendAttempt;
};

const endOf = async (fixture: Fixture): Promise<LegResult['outcome']> => {
  await until(() => fixture.results.length > 0, 'the attempt has ended');
  await delay(20);
  expect(fixture.results).toHaveLength(1);
  expect(fixture.client.attemptsRunning).toBe(0);
  return fixture.results[0]?.outcome as LegResult['outcome'];
};

const startRawServer = async (onSocket: (socket: Socket) => void): Promise<number> => {
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    onSocket(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  closers.push(() => {
    server.close();
    sockets.forEach((socket) => socket.destroy());
  });
  return (server.address() as AddressInfo).port;
};

const answerRaw = (bytes: string, end = true) =>
  startRawServer((socket) => {
    socket.once('data', () => (end ? socket.end(bytes) : socket.write(bytes)));
  });

const http = (status: string, body: string, headers = ''): string =>
  `HTTP/1.1 ${status}\r\ncontent-length: ${body.length}\r\n${headers}\r\n${body}`;

const LEG = { request: 'q-1', attempt: 'a-1', shard: 's-0', snapshot: 1, payload: null };

describe('an attempt at a replica', () => {
  it('is answered, with the load and the leaving state of the replica', async () => {
    const fixture = createFixture();
    const port = await answerRaw(
      http('200 OK', goodAnswer(LEG), 'X-Crossroad-Lifecycle: leaving\r\n'),
    );
    fixture.client.send(attemptTo(port));
    expect(await endOf(fixture)).toEqual({
      type: 'answered',
      request: 'q-1',
      shard: 's-0',
      snapshot: 1,
      items: [{ id: 's-0-item', score: 1, value: null }],
      load: { inFlight: 1, queued: 0 },
      leaving: true,
    });
  });

  // A node that had not run for a while gave attempts up whose answers were waiting in its sockets.
  it('is answered if the answer arrived in time while the process did not run', async () => {
    const fixture = createFixture();
    const port = await startReplicaThread();
    fixture.client.send(attemptTo(port, { attempt: 'a-1' }));
    expect(await endOf(fixture)).toMatchObject({ type: 'answered' });
    fixture.results.length = 0;
    fixture.client.send(attemptTo(port, { attempt: 'a-1', remainingMs: 100 }));
    await delay(10);
    blockThread(400);
    expect(await endOf(fixture)).toMatchObject({ type: 'answered' });
  });

  it.each([
    ['shedding', '503 X', { outcome: 'not-run', reason: 'shedding', retryAfterMs: 7 }],
    ['snapshot-gone', '410 Gone', { outcome: 'not-run', reason: 'snapshot-gone' }],
  ])('is refused as not run: %s', async (reason, status, body) => {
    const fixture = createFixture();
    const port = await answerRaw(http(status, JSON.stringify(body)));
    fixture.client.send(attemptTo(port));
    expect(await endOf(fixture)).toMatchObject({ type: 'not-run', reason });
  });

  it.each([
    ['a truncated body', `HTTP/1.1 200 OK\r\ncontent-length: 999\r\n\r\n${goodAnswer(LEG)}`],
    ['a body that is not JSON', http('200 OK', 'hello')],
    ['JSON of another shape', http('200 OK', '{"items":1}')],
    ['an item without a score', http('200 OK', goodAnswer(LEG).replace('"score":1,', ''))],
    ['the answer of another attempt', http('200 OK', goodAnswer({ ...LEG, attempt: 'a-2' }))],
    ['a line that is not HTTP', 'good day to you\r\n\r\n'],
    ['a refusal with an unknown reason', http('503 X', '{"outcome":"not-run","reason":"mood"}')],
    ['a 503 without the outcome not-run', http('503 X', 'Service Unavailable')],
  ])('that is answered with %s may have run: bad-answer', async (_name, bytes) => {
    const fixture = createFixture();
    fixture.client.send(attemptTo(await answerRaw(bytes)));
    expect(await endOf(fixture)).toEqual({ type: 'unknown', reason: 'bad-answer' });
  });

  it('is abandoned if the answer is too long', async () => {
    const fixture = createFixture();
    const replica = await startReplica((leg, response) => {
      response.write(goodAnswer(leg));
      response.end(' '.repeat(MAX_ANSWER_BYTES));
    });
    fixture.client.send(attemptTo(replica.port));
    expect(await endOf(fixture)).toEqual({ type: 'unknown', reason: 'bad-answer' });
  });

  it('that is answered with a server error may have run', async () => {
    const fixture = createFixture();
    fixture.client.send(attemptTo(await answerRaw(http('500 X', 'oops'))));
    expect(await endOf(fixture)).toEqual({ type: 'unknown', reason: 'server-error' });
  });

  it('may have run and is not sent again if its connection closes after the request', async () => {
    const fixture = createFixture();
    const replica = await startReplica((_leg, response) => response.destroy());
    fixture.client.send(attemptTo(replica.port));
    expect(await endOf(fixture)).toEqual({ type: 'unknown', reason: 'connection-lost' });
    expect(replica.legs).toHaveLength(1);
  });

  it('is not sent again if a reused connection closes after the request', async () => {
    const fixture = createFixture();
    const replica = await startReplica();
    fixture.client.send(attemptTo(replica.port));
    await endOf(fixture);
    fixture.results.length = 0;
    replica.answer = (_leg, response) => response.destroy();
    fixture.client.send(attemptTo(replica.port, { attempt: 'a-2' }));
    expect(await endOf(fixture)).toEqual({ type: 'unknown', reason: 'connection-lost' });
    expect(replica.legs.map((leg) => leg.attempt)).toEqual(['a-1', 'a-2']);
  });

  it('did not run if the connect fails', async () => {
    const fixture = createFixture();
    const replica = await startReplica();
    replica.close();
    fixture.client.send(attemptTo(replica.port));
    expect(await endOf(fixture)).toEqual({ type: 'not-run', reason: 'connect-failed' });
  });

  it('at a frozen replica times out with outcome unknown and is cancelled', async () => {
    const fixture = createFixture();
    const replica = await startReplica(() => undefined);
    fixture.client.send(attemptTo(replica.port, { remainingMs: 60 }));
    expect(await endOf(fixture)).toEqual({ type: 'unknown', reason: 'timed-out' });
    await until(() => replica.cancelled.includes('a-1'), 'the attempt is cancelled');
  });

  it('did not run if it waits for a connection until its deadline', async () => {
    const fixture = createFixture();
    const replica = await startReplica(() => undefined);
    fixture.client.send(attemptTo(replica.port, { connections: 1 }));
    await until(() => replica.legs.length === 1, 'the first attempt is sent');
    const second = attemptTo(replica.port, { attempt: 'a-2', connections: 1, remainingMs: 40 });
    fixture.client.send(second);
    await until(() => fixture.results.length === 1, 'the second attempt has ended');
    expect(fixture.results[0]?.outcome).toEqual({ type: 'not-run', reason: 'deadline-passed' });
    fixture.client.cancel({ type: 'cancel-attempt', attempt: identifier('a-1') });
    await until(() => fixture.results.length === 2, 'the first attempt has ended');
    await delay(50);
    expect(replica.legs.map((leg) => leg.attempt)).toEqual(['a-1']);
  });

  it('ends after its cancellation, even if the replica does not answer', async () => {
    const fixture = createFixture();
    let receivedBytes = 0;
    const port = await startRawServer((socket) =>
      socket.on('data', (chunk) => (receivedBytes += chunk.length)),
    );
    fixture.client.send(attemptTo(port));
    await until(() => receivedBytes > 0, 'the replica has received the attempt');
    fixture.client.cancel({ type: 'cancel-attempt', attempt: identifier('a-1') });
    expect(await endOf(fixture)).toEqual({ type: 'unknown', reason: 'cancelled' });
  });

  it('is reported in one event with others that end in the same turn of the loop', async () => {
    const fixture = createFixture();
    const waiting: (() => void)[] = [];
    const replica = await startReplica((leg, response, port) => {
      waiting.push(() => answerAtOnce(leg, response, port));
    });
    for (let index = 0; index < 8; index += 1) {
      fixture.client.send(attemptTo(replica.port, { attempt: `a-${index}` }));
    }
    await until(() => waiting.length === 8, 'all attempts are sent');
    waiting.forEach((answer) => answer());
    await until(() => fixture.results.length === 8, 'all attempts have ended');
    expect(fixture.events.length).toBeLessThan(8);
    expect(new Set(fixture.results.map((result) => result.attempt)).size).toBe(8);
  });

  it('opens no more connections than allowed', async () => {
    const fixture = createFixture();
    const replica = await startReplica();
    for (let index = 0; index < 20; index += 1) {
      fixture.client.send(attemptTo(replica.port, { attempt: `a-${index}`, connections: 3 }));
    }
    await until(() => fixture.results.length === 20, 'all attempts have ended');
    expect(replica.peakConnections()).toBeLessThanOrEqual(3);
  });
});
