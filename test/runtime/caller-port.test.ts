import { connect } from 'node:net';
import { afterAll, beforeAll, beforeEach, describe, expect, it } from 'vitest';
import type { RunningNode } from '../../src/runtime/running-node.js';
import { startNode } from '../../src/runtime/start-node.js';
import { type FakePlatform, startFakePlatform } from './fake-platform.js';
import { answerAtOnce, type FakeReplica, startFakeReplica } from './fake-replica.js';
import {
  sendQuery,
  nodeSettings,
  OPERATOR_SECRET,
  SHARDS,
  startServingNode,
  storeContents,
  until,
} from './node-fixture.js';

let platform: FakePlatform;
let replica: FakeReplica;
let node: RunningNode;

beforeAll(async () => {
  replica = await startFakeReplica();
  platform = await startFakePlatform(storeContents([replica.port]));
  node = await startServingNode(nodeSettings(platform.url));
});

beforeEach(() => {
  replica.answer = answerAtOnce;
});

afterAll(async () => {
  await node.kill();
  platform.close();
  replica.close();
});

const expectServing = async (): Promise<void> => {
  expect((await sendQuery(node)).status).toBe(200);
};

/** Writes raw bytes to the caller port and reads until the node closes the connection. */
const exchangeRaw = (bytes: string): Promise<string> =>
  new Promise((resolve, reject) => {
    let answer = '';
    const socket = connect(node.ports.caller, '127.0.0.1', () => socket.write(bytes));
    socket.on('data', (chunk) => (answer += chunk.toString()));
    socket.on('error', reject);
    socket.on('close', () => resolve(answer));
  });

describe('the caller port', () => {
  it('answers a query with every shard, its snapshot and its request id', async () => {
    const response = await sendQuery(node);
    const answer = (await response.json()) as Record<string, unknown>;
    expect(response.status).toBe(200);
    expect(response.headers.get('x-crossroad-request')).toBe(answer['request']);
    expect(answer).toMatchObject({
      snapshot: 1,
      coverage: 1,
      shards: SHARDS.length,
      contributed: SHARDS.length,
      missing: [],
    });
    const items = answer['items'] as { id: string; value: unknown }[];
    expect(items.map((item) => item.id).sort()).toEqual(SHARDS.map((shard) => `${shard}-item`));
    expect(items[0]?.value).toEqual({ season: 'spring' });
  });

  it.each([
    ['an unknown key', { secret: 'nobody' }, 401, 'unknown'],
    ['no key', { headers: { authorization: '' } }, 401, 'missing'],
    ["an operator's key", { secret: OPERATOR_SECRET }, 403, 'wrong-role'],
    ["another partner's route", { path: '/v1/tawe/roster' }, 403, 'wrong-partner'],
    ['an unknown kind', { kind: 'nothing' }, 404, 'unknown-route'],
    ['an unknown path', { path: '/v2' }, 404, 'not-found'],
    ['a body that is not JSON', { body: '{"a":' }, 400, 'malformed-request'],
    ['a body too large', { body: 'x'.repeat(70_000) }, 413, 'body-too-large'],
  ])('refuses %s with a problem and continues to serve', async (_name, query, status, reason) => {
    const response = await sendQuery(node, query);
    const problem = (await response.json()) as Record<string, unknown>;
    expect(response.status).toBe(status);
    expect(response.headers.get('content-type')).toBe('application/problem+json');
    expect(problem).toMatchObject({ status, reason, outcome: 'not-run' });
    expect(replica.legs.some((leg) => leg.payload === null)).toBe(false);
    await expectServing();
  });

  it('reports all findings of a malformed request together', async () => {
    const response = await sendQuery(node, {
      kind: 'no kind',
      headers: {
        'x-crossroad-deadline-ms': '-5',
        'x-crossroad-coverage': '1.5',
        'idempotency-key': 'k'.repeat(129),
      },
      body: '{"maxItems":0,"key":7}',
    });
    const { findings } = (await response.json()) as { findings: { place: string }[] };
    expect(findings.map((finding) => finding.place).sort()).toEqual([
      'body key',
      'body maxItems',
      'header idempotency-key',
      'header x-crossroad-coverage',
      'header x-crossroad-deadline-ms',
      'header x-crossroad-kind',
    ]);
  });

  it.each([
    ['a line that is not HTTP', 'hello\r\n\r\n'],
    ['a header that is too long', `POST / HTTP/1.1\r\n${'a'.repeat(70_000)}\r\n\r\n`],
    ['a target with a backslash', 'POST /v1\\a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n'],
    ['a negative length', 'POST /v1/a/b HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n'],
  ])('answers %s with a problem and continues to serve', async (_name, bytes) => {
    expect(await exchangeRaw(bytes)).toMatch(/^HTTP\/1.1 4\d\d .*application\/problem\+json/s);
    await expectServing();
  });

  it('abandons a query whose caller closes the connection, and cancels its legs', async () => {
    replica.answer = () => undefined;
    const before = replica.legs.length;
    const controller = new AbortController();
    const asked = sendQuery(node, { signal: controller.signal });
    await until(() => replica.legs.length === before + SHARDS.length, 'the legs are sent');
    controller.abort();
    await expect(asked).rejects.toThrow();
    await until(() => node.state.query.inProgress === 0, 'the query has ended');
    const attempts = replica.legs.slice(before).map((leg) => leg.attempt);
    await until(
      () => attempts.every((attempt) => replica.cancelled.includes(attempt)),
      'the legs are cancelled',
    );
    await until(() => node.state.replica.attemptsInProgress === 0, 'the attempts have ended');
  });
});

describe('the caller port of a starting node', () => {
  it('answers not-ready instead of unknown key until a configuration is in force', async () => {
    const silent = await startFakePlatform([]);
    silent.override = () => true;
    const starting = await startNode(nodeSettings(silent.url), { log: () => undefined });
    const response = await sendQuery(starting);
    expect(response.status).toBe(503);
    expect(await response.json()).toMatchObject({ outcome: 'not-run', reason: 'not-ready' });
    expect(response.headers.get('retry-after')).toBe('1');
    await starting.kill();
    silent.close();
  });
});
