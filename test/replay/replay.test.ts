import { mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { replayCommand } from '../../src/cli/replay.js';
import { decodeRecord, encodeEntry, encodeHeader } from '../../src/replay/event-record.js';
import { replayRecord } from '../../src/replay/replay-record.js';
import { EventRecorder } from '../../src/runtime/event-recorder.js';
import { startFakePlatform } from '../runtime/fake-platform.js';
import { startFakeReplica } from '../runtime/fake-replica.js';
import {
  sendQuery,
  createMemoryLog,
  nodeSettings,
  startServingNode,
  storeContents,
} from '../runtime/node-fixture.js';

let folder: string;
let file: string;

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'crossroad-test-'));
  file = join(folder, 'events');
});

afterEach(async () => {
  await rm(folder, { recursive: true });
});

/** Records the events of a node that answers three queries, one of them with a failing replica. */
const recordNode = async (): Promise<Buffer> => {
  const replica = await startFakeReplica();
  const platform = await startFakePlatform(storeContents([replica.port]));
  const node = await startServingNode(nodeSettings(platform.url, { record: file }));
  await sendQuery(node);
  replica.answer = (_leg, response) => response.destroy();
  await sendQuery(node);
  await sendQuery(node, { kind: 'nothing' });
  await node.stop();
  platform.close();
  replica.close();
  return readFile(file);
};

const OPTIONS = {
  self: {
    node: 'bole-1',
    zone: 'bole',
    region: 'addis',
    address: { host: '127.0.0.1', port: 1 },
    incarnation: 1,
  },
  seeds: [],
  seed: 1,
} as never;

describe('an event record', () => {
  it('replays to identical effects, byte for byte', async () => {
    const record = decodeRecord(await recordNode()).unsafeCoerce();
    const result = replayRecord(record);
    expect(result.difference).toBeUndefined();
    expect(result.events).toBeGreaterThan(10);
    const types = new Set(record.entries.map(({ event }) => event.type));
    expect(types).toContain('query-arrived');
    expect(types).toContain('attempts-ended');
    expect(await replayCommand.run([file])).toBe(0);
  });

  it('shows a difference when an event or the options were changed', async () => {
    const record = decodeRecord(await recordNode()).unsafeCoerce();
    const changed = record.entries.findIndex(({ event }) => event.type === 'query-arrived');
    const entries = record.entries.filter((_, index) => index !== changed);
    expect(replayRecord({ ...record, entries }).difference).toBeDefined();
    const options = { ...record.options, seed: record.options.seed + 1 };
    expect(replayRecord({ ...record, options }).difference).toBeDefined();
  });

  it('is decoded up to an incomplete last frame', () => {
    const entry = encodeEntry({ type: 'started', at: 0 }, []);
    const bytes = Buffer.concat([encodeHeader(OPTIONS), entry, entry.subarray(0, 9)]);
    expect(decodeRecord(bytes).unsafeCoerce()).toMatchObject({ cutBytes: 9, entries: [{}] });
  });

  it.each([
    ['nothing', Buffer.alloc(0)],
    ['text', Buffer.from('plain text, not an event record')],
    ['an entry in place of the header', encodeEntry({ type: 'started', at: 0 }, [])],
    [
      'a header in place of an entry',
      Buffer.concat([encodeHeader(OPTIONS), encodeHeader(OPTIONS)]),
    ],
  ])('is rejected when it is %s', (_name, bytes) => {
    expect(decodeRecord(bytes).isLeft()).toBe(true);
  });

  it('stops at its size limit and logs that once', async () => {
    const { lines, log } = createMemoryLog();
    const recorder = new EventRecorder(file, OPTIONS, log, 1_000);
    for (let index = 0; index < 100; index += 1) {
      recorder.record({ type: 'started', at: index }, []);
    }
    await recorder.close();
    expect((await readFile(file)).length).toBeLessThanOrEqual(1_000);
    expect(lines).toHaveLength(1);
  });

  it('logs at most one line and does not throw when the file cannot be written', async () => {
    const { lines, log } = createMemoryLog();
    const recorder = new EventRecorder(join(folder, 'no/such/folder'), OPTIONS, log);
    await recorder.close();
    recorder.record({ type: 'started', at: 0 }, []);
    expect(lines.length).toBeLessThanOrEqual(1);
  });
});
