import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { GatewayFixture, until } from './gateway-fixture.js';
import { routeSpec } from './operator-spec.js';
import { RawCaller, requestHead } from './raw-caller.js';

const GRACE_MS = 6_000;

/** Length of an answer that does not fit into the buffers of the kernel, in bytes. */
const LONG_ANSWER_BYTES = 15 * 1024 * 1024;

/** Length of an answer that fits into the buffers of the kernel, but not into those of the caller, in bytes. */
const BUFFERED_ANSWER_BYTES = 1024 * 1024;

const SLOW_WORK_MS = 600;
const FAST_WORK_MS = 100;

let fixture: GatewayFixture;

beforeEach(async () => {
  fixture = await GatewayFixture.create();
});

afterEach(async () => {
  await fixture.stop();
});

const serveWith = async (replica: Parameters<GatewayFixture['addReplica']>[2]): Promise<void> => {
  const { settings } = fixture;
  fixture.settings = { ...settings, bounds: { ...settings.bounds, graceMs: GRACE_MS } };
  const route = { path_prefix: '/one/', service: 'desk', kind: 'unsafe', timeout_ms: 15_000 };
  fixture.configure([routeSpec(route)], ['desk']);
  await fixture.addReplica('desk-1', 'desk', replica);
  await fixture.serve();
};

const arrivals = (): number => fixture.replicas.get('desk-1')?.arrived.length ?? 0;

const post = (path: string): string => requestHead(`POST ${path}`, ['Content-Length: 0']);

const closesConnection = (caller: RawCaller): readonly boolean[] =>
  caller.answers.map(({ head }) => /connection: close/i.test(head));

/** Sends further requests while the closing answer is on its way, and only then reads; returns the number of bytes received. */
const readLateAfterStop = async (): Promise<number> => {
  const socket = connect({ ...fixture.settings.callers, noDelay: true });
  await once(socket, 'connect');
  socket.write(post('/one/long'));
  await until(() => arrivals() === 1, 'the request has arrived');
  fixture.gateway.stop();
  await until(() => fixture.gateway.state.requests.size === 0, 'the answer is being sent');
  await delay(50);
  socket.write(post('/one/late') + post('/one/late'));
  await delay(500);
  let bytes = 0;
  socket.on('data', (chunk: Buffer) => (bytes += chunk.length));
  socket.on('error', () => undefined);
  await new Promise((resolve) => {
    socket.once('close', resolve);
  });
  return bytes;
};

describe('requests that follow on a connection before the answer', () => {
  // The answer to the second request was prepared to close the connection while the first was still in progress, so the answer
  // to a third one that arrived meanwhile was lost.
  it('are answered if they arrive while an answer waits for an earlier one', async () => {
    await serveWith({ workOf: (path) => (path === '/one/slow' ? SLOW_WORK_MS : FAST_WORK_MS) });
    const caller = await RawCaller.open(fixture.settings.callers);
    caller.send(post('/one/slow') + post('/one/fast'));
    await until(() => arrivals() === 2, 'both requests have arrived');
    fixture.gateway.stop();
    await until(() => fixture.gateway.state.requests.size === 1, 'the second is answered');
    caller.send(post('/one/fast'));
    expect(await caller.statuses(3)).toEqual([200, 200, 200]);
    expect(closesConnection(caller)).toEqual([false, false, true]);
  });

  // A refusal closed the connection before the requests behind it in the same segment had been read; they ran, and their answers
  // were lost.
  it('are answered if they arrive in one segment with a request that is refused at once', async () => {
    await serveWith({ workMs: FAST_WORK_MS });
    const caller = await RawCaller.open(fixture.settings.callers);
    fixture.gateway.stop();
    caller.send(post('/absent/') + post('/one/fast'));
    expect(await caller.statuses(2)).toEqual([404, 200]);
    expect(closesConnection(caller)).toEqual([false, true]);
  });

  // The same without a stop: the refusal of a request that exceeds a limit closed the connection.
  it('are answered behind a request that is refused for its size', async () => {
    await serveWith({ workMs: FAST_WORK_MS });
    const caller = await RawCaller.open(fixture.settings.callers);
    const long = requestHead('GET /one/', [`X-Long: ${'v'.repeat(100_000)}`]);
    caller.send(long + post('/one/fast'));
    expect(await caller.statuses(2)).toEqual([431, 200]);
  });

  // A request that arrived while the closing answer was being sent ran, and its answer was lost.
  it('do not run if they arrive after an answer that closes the connection has begun', async () => {
    await serveWith({ workMs: FAST_WORK_MS, body: Buffer.alloc(LONG_ANSWER_BYTES) });
    expect(await readLateAfterStop()).toBeGreaterThan(LONG_ANSWER_BYTES);
    expect(arrivals()).toBe(1);
    expect(fixture.log.lines).toContainEqual({
      level: 'info',
      part: 'caller',
      change: { event: 'request-ignored', requestId: 'r-1', unlogged: 0 },
      type: 'write-log',
    });
  });

  // The connection was closed although the caller was still sending; the reset discarded what it had not read yet.
  it('do not cut off the answer that closes the connection', async () => {
    await serveWith({ workMs: FAST_WORK_MS, body: Buffer.alloc(BUFFERED_ANSWER_BYTES) });
    expect(await readLateAfterStop()).toBeGreaterThan(BUFFERED_ANSWER_BYTES);
  });

  // Only the first request of a connection that closed was given up: replicas continued to work on the others, and a later stop
  // waited for their answers until the end of the grace period.
  it('are all given up when the caller leaves', async () => {
    await serveWith({ silent: true });
    const caller = await RawCaller.open(fixture.settings.callers);
    caller.send(post('/one/first') + post('/one/second'));
    await until(() => arrivals() === 2, 'both requests have arrived');
    caller.close();
    await until(() => fixture.gateway.state.requests.size === 0, 'no request is in progress');
  });
});
