import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { LoopbackLink } from '../../soak/world/loopback-link.js';

/** Duration of the failures in milliseconds; the lower bounds below allow for a busy machine. */
const FAILURE_MS = 400;

let echo: Server;
let link: LoopbackLink;

beforeEach(async () => {
  echo = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.pipe(socket);
  });
  echo.listen(0, '127.0.0.1');
  await once(echo, 'listening');
  link = await LoopbackLink.open((echo.address() as AddressInfo).port);
});

afterEach(async () => {
  await link.close();
  echo.close();
});

const open = async (): Promise<Socket> => {
  const socket = connect(link.port, '127.0.0.1');
  await once(socket, 'connect');
  return socket;
};

/** Reads until at least `letters` characters have arrived. */
const read = async (socket: Socket, letters: number): Promise<string> => {
  let text = '';
  while (text.length < letters) {
    const [chunk] = (await once(socket, 'data')) as [Buffer];
    text += chunk.toString();
  }
  return text;
};

describe('a link', () => {
  it('forwards bytes in both directions', async () => {
    const socket = await open();
    socket.write('hello');
    expect(await read(socket, 5)).toBe('hello');
    socket.destroy();
  });

  it('delivers held bytes in order at the end of a silence', async () => {
    const socket = await open();
    const began = performance.now();
    const failure = link.failFor('silence', FAILURE_MS);
    await Promise.resolve();
    socket.write('one');
    setTimeout(() => socket.write('two'), FAILURE_MS / 4);
    expect(await read(socket, 6)).toBe('onetwo');
    expect(performance.now() - began).toBeGreaterThan(FAILURE_MS * 0.9);
    await failure;
    socket.destroy();
  });

  it('keeps the order of delayed bytes', async () => {
    const socket = await open();
    const failure = link.failFor('delay', FAILURE_MS);
    await Promise.resolve();
    socket.write('one');
    setTimeout(() => socket.write('two'), FAILURE_MS);
    expect(await read(socket, 6)).toBe('onetwo');
    await failure;
    socket.destroy();
  });

  it('resets existing and new connections while it refuses, and forwards new ones afterwards', async () => {
    const old = await open();
    old.write('x');
    await read(old, 1);
    const ended = once(old, 'error');
    const failure = link.failFor('refuse', FAILURE_MS);
    expect(await ended).toEqual([expect.objectContaining({ code: 'ECONNRESET' })]);
    const newer = connect(link.port, '127.0.0.1');
    expect(await once(newer, 'error')).toEqual([expect.objectContaining({ code: 'ECONNRESET' })]);
    await failure;
    const later = await open();
    later.write('x');
    expect(await read(later, 1)).toBe('x');
    later.destroy();
  });
});
