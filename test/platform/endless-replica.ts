/** Replicas that send bytes without end, until the gateway closes the connection. */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import type { HostPort } from '../../src/settings/node-settings.js';
import { RawReplica } from '../gateway/raw-replica.js';
import { type EndlessAnswer, sendWithoutEnd } from './endless-answer.js';
import type { GatewayFixture } from './gateway-fixture.js';

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
