import { connect, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { RunningNode } from '../../src/runtime/running-node.js';
import { type FakePlatform, startFakePlatform } from './fake-platform.js';
import { answerAtOnce, type FakeReplica, startFakeReplica } from './fake-replica.js';
import {
  CALLER_SECRET,
  nodeSettings,
  SHARDS,
  startServingNode,
  storeContents,
  until,
} from './node-fixture.js';

const WORK_MS = 200;

const BODY = '{"payload":{"season":"spring"}}';

const QUERY = [
  'POST /v1/ensemble/roster HTTP/1.1',
  'host: node.example',
  `authorization: Bearer ${CALLER_SECRET}`,
  'x-crossroad-kind: page',
  `content-length: ${BODY.length}`,
  '',
  BODY,
].join('\r\n');

let platform: FakePlatform;
let replica: FakeReplica;
let node: RunningNode;
let socket: Socket;
let received = '';

beforeEach(async () => {
  replica = await startFakeReplica((...leg) => {
    setTimeout(() => answerAtOnce(...leg), WORK_MS);
  });
  platform = await startFakePlatform(storeContents([replica.port]));
  node = await startServingNode(nodeSettings(platform.url));
  received = '';
  socket = connect(node.ports.caller, '127.0.0.1');
  socket.on('data', (chunk) => (received += chunk.toString('latin1')));
  socket.on('error', () => undefined);
});

afterEach(async () => {
  socket.destroy();
  await node.kill();
  platform.close();
  replica.close();
});

const statuses = (): readonly number[] =>
  [...received.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(([, status]) => Number(status));

const untilClosed = (): Promise<void> => until(() => socket.closed, 'the connection is closed');

describe('queries on one connection', () => {
  // The refusal was sent first and closed the connection: the caller took it for the answer to its query, which ran.
  it('are answered before malformed input behind them is refused', async () => {
    socket.write(`${QUERY}malformed\r\n\r\n`);
    await untilClosed();
    expect(statuses()).toEqual([200, 400]);
  });

  // Each answer during a stop closed the connection, also with further requests behind it, which got no answer.
  it('are all answered if they arrive together while the node stops', async () => {
    socket.write(QUERY);
    await until(() => replica.legs.length === SHARDS.length, 'the legs are sent');
    void node.stop();
    socket.write(QUERY + QUERY);
    await untilClosed();
    expect(statuses()).toEqual([200, 503, 503]);
  });
});
