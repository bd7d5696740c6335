import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { Worker } from 'node:worker_threads';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { GatewayFixture, until } from './gateway-fixture.js';
import { routeSpec } from './operator-spec.js';
import { RawCaller, requestHead } from './raw-caller.js';

const TEST_TIMEOUT_MS = 20_000;

/** A stop with this grace period answers all requests after a second. */
const SHORT_GRACE_MS = 1_500;

/** Length of an answer that does not fit into the buffers of the kernel, in bytes. */
const LONG_ANSWER_BYTES = 15 * 1024 * 1024;

let fixture: GatewayFixture;

beforeEach(async () => {
  fixture = await GatewayFixture.create();
});

afterEach(async () => {
  await fixture.stop();
});

const serveWith = async (graceMs: number, replica: Parameters<GatewayFixture['addReplica']>[2]) => {
  fixture.settings = { ...fixture.settings, bounds: { ...fixture.settings.bounds, graceMs } };
  const route = { path_prefix: '/one/', service: 'desk', kind: 'unsafe', timeout_ms: 15_000 };
  fixture.configure([routeSpec(route)], ['desk']);
  await fixture.addReplica('desk-1', 'desk', replica);
  await fixture.serve();
};

const arrivals = (): number => fixture.replicas.get('desk-1')?.arrived.length ?? 0;

/** Opens a connection and reads nothing from it yet. */
const openUnread = async (): Promise<Socket> => {
  const socket = connect({ ...fixture.settings.callers, noDelay: true });
  await once(socket, 'connect');
  return socket;
};

/** Reads from a connection until it closes; returns the number of bytes. */
const readToEnd = async (socket: Socket): Promise<number> => {
  let bytes = 0;
  socket.on('data', (chunk: Buffer) => (bytes += chunk.length)).resume();
  await once(socket, 'close');
  return bytes;
};

/** Blocks the process for `forMs` milliseconds; afterwards the event loop runs its timers before it reads its sockets. */
const blockBeforeTimers = async (forMs: number): Promise<void> => {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  const end = performance.now() + forMs;
  while (performance.now() < end);
};

describe('a planned stop over sockets', { timeout: TEST_TIMEOUT_MS }, () => {
  // Connections of callers whose requests replicas had begun were closed without an answer.
  it('answers a request that a silent replica still runs', async () => {
    await serveWith(SHORT_GRACE_MS, { silent: true });
    const caller = await RawCaller.open(fixture.settings.callers);
    caller.send(requestHead('POST /one/', ['Content-Length: 0']));
    await until(() => arrivals() === 1, 'the request has arrived');
    fixture.gateway.stop();
    expect(await caller.statuses(1)).toEqual([504]);
    await fixture.gateway.ended;
  });

  // A request that waited for a connection was answered as if a replica might have run it.
  it('tells the caller of a request that waits for a connection that it has not run', async () => {
    fixture.settings = {
      ...fixture.settings,
      bounds: { ...fixture.settings.bounds, graceMs: 1_500 },
    };
    const route = { path_prefix: '/one/', service: 'desk', kind: 'unsafe', timeout_ms: 15_000 };
    fixture.configure([routeSpec(route)], ['desk'], 1);
    await fixture.addReplica('desk-1', 'desk', { silent: true });
    await fixture.serve();
    const callers = [];
    for (let index = 0; index < 3; index += 1) {
      const caller = await RawCaller.open(fixture.settings.callers);
      caller.send(requestHead('POST /one/', ['Content-Length: 0']));
      callers.push(caller);
    }
    await until(() => fixture.gateway.state.attempts.size === 3, 'three attempts are in progress');
    const begun = arrivals();
    fixture.gateway.stop();
    const statuses = await Promise.all(callers.map((caller) => caller.statuses(1)));
    expect(statuses.flat().filter((status) => status === 504)).toHaveLength(begun);
    expect(statuses.flat().filter((status) => status === 503)).toHaveLength(3 - begun);
    expect(arrivals()).toBe(begun);
  });

  // A caller that was still sending its request when the process ended found its connection closed.
  it('refuses a request whose body is still being received when it ends', async () => {
    await serveWith(SHORT_GRACE_MS, {});
    const caller = await RawCaller.open(fixture.settings.callers);
    caller.send(`${requestHead('POST /one/', ['Content-Length: 10'])}half`);
    fixture.gateway.stop();
    expect(await caller.statuses(1)).toEqual([503]);
    expect(caller.answers[0]?.head).toMatch(/connection: close/i);
    await fixture.gateway.ended;
    expect(arrivals()).toBe(0);
  });

  // The rest of a request that had been refused was read as its end, and the request was handled again.
  it('does not handle a request whose rest arrives after its refusal', async () => {
    await serveWith(SHORT_GRACE_MS, {});
    const socket = connect({ ...fixture.settings.callers, noDelay: true, allowHalfOpen: true });
    socket.write(`${requestHead('POST /one/', ['Content-Length: 10'])}half`);
    fixture.gateway.stop();
    await once(socket, 'data');
    socket.write('second');
    await fixture.gateway.ended;
    expect(fixture.log.traces).toEqual([]);
    socket.destroy();
  });

  // Callers that read slowly got a part of a long answer, since a request was finished once its answer was handed over.
  it('sends a long answer to its end', async () => {
    await serveWith(6_000, { body: Buffer.alloc(LONG_ANSWER_BYTES) });
    const socket = await openUnread();
    socket.write(requestHead('POST /one/', ['Content-Length: 0']));
    socket.pause();
    await until(() => fixture.gateway.state.attempts.size === 1, 'the request has been sent');
    await until(() => fixture.gateway.state.attempts.size === 0, 'the answer is in');
    fixture.gateway.stop();
    await delay(4_000);
    expect(await readToEnd(socket)).toBeGreaterThan(LONG_ANSWER_BYTES);
    await fixture.gateway.ended;
  });

  // The first answer after a stop closed the connection, on which later requests were in progress.
  it('answers all requests of one connection', async () => {
    await serveWith(6_000, { workOf: (path) => (path === '/one/slow' ? 500 : 100) });
    const caller = await RawCaller.open(fixture.settings.callers);
    caller.send(requestHead('POST /one/fast', ['Content-Length: 0']));
    caller.send(requestHead('POST /one/slow', ['Content-Length: 0']));
    await until(() => arrivals() === 2, 'both requests have arrived');
    fixture.gateway.stop();
    expect(await caller.statuses(2)).toEqual([200, 200]);
    expect(caller.answers.map(({ head }) => /connection: close/i.test(head))).toEqual([
      false,
      true,
    ]);
  });

  // A process that was not scheduled for some 100 ms ended without reading what callers had sent meanwhile.
  it('reads what callers sent while it was not scheduled', async () => {
    await serveWith(6_000, {});
    const source = `
      const { workerData, parentPort } = require('node:worker_threads');
      const socket = require('node:net').connect({ ...workerData.address, noDelay: true });
      let text = '';
      socket.on('data', (chunk) => (text += chunk));
      socket.on('error', (error) => (text += error.code));
      socket.on('close', () => parentPort.postMessage(text));
      socket.on('connect', () => parentPort.postMessage('open'));
      parentPort.on('message', () => setTimeout(() => socket.write(workerData.request), 100));`;
    const request = requestHead('POST /one/', ['Content-Length: 0', 'Connection: close']);
    const workerData = { address: fixture.settings.callers, request };
    const worker = new Worker(source, { eval: true, workerData });
    await once(worker, 'message');
    fixture.gateway.stop();
    await until(() => fixture.gateway.state.isCallerPortClosed, 'the port is closed');
    worker.postMessage('send');
    await blockBeforeTimers(300);
    const [answer] = (await once(worker, 'message')) as [string];
    expect(answer).toMatch(/^HTTP\/1.1 200/);
  });

  // Of the connections that waited when the port was closed, one had been accepted and the others were reset.
  it('accepts what waits for a connection before it closes the port', async () => {
    await serveWith(6_000, {});
    const source = `
      const { workerData, parentPort } = require('node:worker_threads');
      const { connect } = require('node:net');
      const ask = () => new Promise((resolve) => {
        const socket = connect({ ...workerData.address, noDelay: true });
        let text = '';
        socket.on('connect', () => socket.write(workerData.request));
        socket.on('data', (chunk) => (text += chunk));
        socket.on('error', (error) => (text += error.code));
        socket.on('close', () => resolve(text.split(String.fromCharCode(13))[0]));
      });
      parentPort.on('message', (count) =>
        Promise.all(Array.from({ length: count }, ask)).then((all) => parentPort.postMessage(all)));
      parentPort.postMessage('ready');`;
    const request = requestHead('POST /one/', ['Content-Length: 0', 'Connection: close']);
    const workerData = { address: fixture.settings.callers, request };
    const worker = new Worker(source, { eval: true, workerData });
    await once(worker, 'message');
    fixture.gateway.stop();
    await delay(3_000);
    worker.postMessage(20);
    await blockBeforeTimers(500);
    const [answers] = (await once(worker, 'message')) as [string[]];
    expect(answers).toEqual(Array.from({ length: 20 }, () => 'HTTP/1.1 200 OK'));
    await worker.terminate();
  });
});
