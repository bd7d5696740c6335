/** Replicas that send bytes without end, until the gateway closes the connection. */
import { once } from 'node:events';
import type { Socket } from 'node:net';
import { Worker } from 'node:worker_threads';
import type { HostPort } from '../../src/settings/node-settings.js';
import { RawReplica } from '../gateway/raw-replica.js';
import type { GatewayFixture } from './gateway-fixture.js';

const HEAD = 'HTTP/1.1 200 OK\r\nx-server-stamp: s-1\r\n';

const BLOCK = 'x'.repeat(16_384);

/** What a replica sends after a request: first the start, then the block again and again. */
export interface EndlessAnswer {
  readonly start: string;
  readonly block: string;
}

/** Answers that never end, by name. */
export const ENDLESS_ANSWERS: Readonly<Record<string, EndlessAnswer>> = {
  'header lines': { start: HEAD, block: `x-filler: ${'x'.repeat(100)}\r\n`.repeat(100) },
  'a status line': { start: 'HTTP/1.1 200 ', block: BLOCK },
  'no HTTP': { start: '', block: BLOCK },
  'empty lines': { start: '', block: '\r\n'.repeat(8_192) },
  'a body without a length': { start: `${HEAD}\r\n`, block: BLOCK },
  'a body of 1 TB': { start: `${HEAD}content-length: 1000000000000\r\n\r\n`, block: BLOCK },
  'large chunks': {
    start: `${HEAD}transfer-encoding: chunked\r\n\r\n`,
    block: `4000\r\n${BLOCK}\r\n`,
  },
  'chunks of one byte': {
    start: `${HEAD}transfer-encoding: chunked\r\n\r\n`,
    block: '1\r\nx\r\n'.repeat(2_700),
  },
  'a chunk extension': { start: `${HEAD}transfer-encoding: chunked\r\n\r\n1;x=`, block: BLOCK },
  'interim answers': { start: '', block: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(600) },
};

/** Sends an answer until the connection closes. */
export const sendWithoutEnd = (socket: Socket, { start, block }: EndlessAnswer): void => {
  socket.write(start, 'latin1');
  const bytes = Buffer.from(block, 'latin1');
  const fill = (): void => {
    while (!socket.destroyed && socket.write(bytes));
  };
  socket.on('drain', fill);
  fill();
};

/** Lists a replica in the store. */
export const listReplica = (
  fixture: GatewayFixture,
  id: string,
  service: string,
  { host, port }: HostPort,
): void => {
  const entry = { service, address: `${host}:${port}`, zone: 'bole', version: 'v1', slots: 4 };
  fixture.store.put('servers', id, { ...entry, state: 'ready', cold_left_ms: 0, seq: 1 });
};

/** Starts a replica that answers each request without end, and lists it in the store. */
export const addEndlessReplica = async (
  fixture: GatewayFixture,
  id: string,
  service: string,
  answer: EndlessAnswer,
): Promise<RawReplica> => {
  const replica = await RawReplica.start((socket) => sendWithoutEnd(socket, answer));
  listReplica(fixture, id, service, replica.address);
  return replica;
};

const WORKER_SOURCE = `
  const { workerData, parentPort } = require('node:worker_threads');
  const start = Buffer.from(workerData.start, 'latin1');
  const block = Buffer.from(workerData.block, 'latin1');
  const server = require('node:net').createServer((socket) => {
    const fill = () => { while (!socket.destroyed && socket.write(block)); };
    socket.on('error', () => undefined);
    socket.on('drain', fill);
    socket.once('data', () => { socket.write(start); fill(); });
  });
  server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));`;

/** The same as a thread of its own, which sends as fast as it can without delaying the test. */
export const addEndlessThread = async (
  fixture: GatewayFixture,
  id: string,
  service: string,
  answer: EndlessAnswer,
): Promise<Worker> => {
  const worker = new Worker(WORKER_SOURCE, { eval: true, workerData: answer });
  const [port] = (await once(worker, 'message')) as [number];
  listReplica(fixture, id, service, { host: '127.0.0.1', port });
  return worker;
};
