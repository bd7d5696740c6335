import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { GatewayFixture, until } from './gateway-fixture.js';
import { routeSpec } from './operator-spec.js';
import { requestHead } from './raw-caller.js';

/** Length of an answer that the kernel holds until the caller reads it, in bytes. */
const ANSWER_BYTES = 3 * 1024 * 1024;

const GET = requestHead('GET /one/long');

let fixture: GatewayFixture;
let socket: Socket;
let bytes = 0;

beforeEach(async () => {
  fixture = await GatewayFixture.create();
  const { settings } = fixture;
  fixture.settings = { ...settings, bounds: { ...settings.bounds, graceMs: 6_000 } };
  fixture.configure([routeSpec({ path_prefix: '/one/', service: 'desk' })], ['desk']);
  await fixture.addReplica('desk-1', 'desk', { workMs: 200, body: Buffer.alloc(ANSWER_BYTES) });
  await fixture.serve();
  socket = connect({ ...fixture.settings.callers, noDelay: true });
  await once(socket, 'connect');
  bytes = 0;
  socket.on('data', (chunk: Buffer) => (bytes += chunk.length));
  socket.on('error', () => undefined);
});

afterEach(async () => {
  socket.destroy();
  await fixture.stop();
});

/** Sends more once the answer has begun and once the kernel has it; only then is it read. */
const readAfterSending = async (...more: readonly string[]): Promise<void> => {
  const closed = once(socket, 'close');
  await until(() => bytes > 0, 'the answer has begun');
  socket.pause();
  for (const text of more) {
    socket.write(text);
    await delay(300);
  }
  socket.resume();
  await closed;
};

describe('an answer that closes the connection is whole', () => {
  // Input that was not read made the kernel reset the connection, and the rest of the answer was lost.
  it('if the caller has sent another request behind its last one', async () => {
    socket.write(GET);
    await until(() => fixture.replicas.get('desk-1')?.arrived.length === 1, 'the request arrived');
    fixture.gateway.stop();
    await readAfterSending(GET);
    expect(bytes).toBeGreaterThan(ANSWER_BYTES);
  });

  it.each([
    ['malformed input', '', 'malformed\r\n\r\n'],
    ['further bytes after a request to close', 'Connection: close', GET],
  ])('if it is followed by %s', async (_, field, more) => {
    socket.write(requestHead('GET /one/long', field === '' ? [] : [field]));
    await readAfterSending(more, 'more');
    expect(bytes).toBeGreaterThan(ANSWER_BYTES);
  });

  // The process ended as soon as the kernel had the answer; a later byte of the caller reset the connection.
  it('if the process could end before the caller has read it', async () => {
    fixture.gateway.stop();
    await delay(2_800);
    socket.write(GET);
    await readAfterSending('', '', '', GET);
    expect(bytes).toBeGreaterThan(ANSWER_BYTES);
  });
});
