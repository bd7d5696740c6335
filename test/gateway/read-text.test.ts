import { afterEach, describe, expect, it } from 'vitest';
import { EndlessAnswerError, readText } from '../../src/gateway/runtime/read-text.js';
import { ReceivedBytes } from '../../src/gateway/runtime/received-bytes.js';
import { openConnection } from '../../src/gateway/runtime/sockets.js';
import { Client } from '../../src/gateway/runtime/undici-client.js';
import { ENDLESS_ANSWERS, sendWithoutEnd } from '../platform/endless-answer.js';
import { RawReplica } from './raw-replica.js';

const TIMEOUT_MS = 10_000;

let server: RawReplica | undefined;
let client: Client | undefined;

afterEach(async () => {
  await client?.destroy();
  await server?.stop();
});

/** Calls the server; resolves to the error. */
const failOf = async ({ address }: RawReplica): Promise<unknown> => {
  let received: ReceivedBytes | undefined;
  client = new Client(`http://${address.host}:${address.port}`, {
    connect: (_options, callback) => {
      const socket = openConnection(address, 1_000, () => callback(null, socket));
      received = new ReceivedBytes(socket);
    },
  });
  const call = readText(client, { method: 'GET', path: '/' }, TIMEOUT_MS, () => received);
  return call.catch((error: unknown) => error);
};

describe('an answer of the store without an end', () => {
  // Calls read what the store sent until they timed out, and kept all of it.
  it.each(Object.entries(ENDLESS_ANSWERS))('fails the call at once: %s', async (_name, answer) => {
    server = await RawReplica.start((socket) => sendWithoutEnd(socket, answer));
    const began = performance.now();
    const error = (await failOf(server)) as Error;
    expect([EndlessAnswerError.name, 'HTTPParserError', 'HeadersOverflowError']).toContain(
      error.name,
    );
    expect(performance.now() - began).toBeLessThan(TIMEOUT_MS / 2);
  });
});

describe('an answer of the store with a length', () => {
  const answerOf = (bytes: number): Buffer =>
    Buffer.from(`HTTP/1.1 200 OK\r\ncontent-length: ${bytes}\r\n\r\n${' '.repeat(bytes)}`);

  // Parsing 15 MiB of small values stopped all else in the process for a second.
  it('fails the call if reading it would take too long', async () => {
    server = await RawReplica.start((socket) => socket.write(answerOf(5 * 1024 * 1024)));
    expect(await failOf(server)).toBeInstanceOf(EndlessAnswerError);
  });

  it('is read if it has a page and one object more', async () => {
    server = await RawReplica.start((socket) => socket.write(answerOf(3 * 1024 * 1024)));
    expect(await failOf(server)).toHaveProperty('status', 200);
  });
});
