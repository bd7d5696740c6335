/** Fixtures for tests of the driver: one partner, one service and nodes on loopback addresses. */
import { setTimeout as delay } from 'node:timers/promises';
import { hashSecret } from '../../src/auth/hash-secret.js';
import type { StoreContent } from '../../src/catalog/store-object.js';
import { identifier } from '../../src/core/identifiers.js';
import type { LogWriter } from '../../src/runtime/node-log.js';
import type { RunningNode } from '../../src/runtime/running-node.js';
import { startNode } from '../../src/runtime/start-node.js';
import type { NodeSettings } from '../../src/settings/node-settings.js';

/** Secret of the caller key. */
export const CALLER_SECRET = 'caller-secret-of-the-tests';

/** Secret of the operator key. */
export const OPERATOR_SECRET = 'operator-secret-of-the-tests';

/** Shared secret of the nodes. */
export const PEER_SECRET = 'peer-secret-of-the-tests';

/** Shards of the service. */
export const SHARDS = ['s-0', 's-1', 's-2'];

const LOOPBACK = { host: '127.0.0.1', port: 0 };

const sha256 = (secret: string): string => hashSecret(secret).toString('hex');

const row = (kind: string, safeToRepeat: boolean) => ({
  partner: identifier<never>('ensemble'),
  route: identifier<never>('roster'),
  kind: identifier<never>(kind),
  services: ['desk'],
  fanOut: 'all' as const,
  merge: 'concatenate' as const,
  maxItems: 100,
  weight: 1,
  deadlineMs: 2_000,
  coverage: 1,
  safeToRepeat,
  extraLoadLimit: 0.1,
  hedging: false,
  snapshotPolicy: 'covered' as const,
});

/** Store contents of a partner with one service, whose replicas listen on `ports`. */
export const storeContents = (ports: readonly number[]): StoreContent[] => [
  {
    type: 'sheet',
    sheet: {
      partner: identifier('ensemble'),
      rows: [row('page', true)].map((one) => ({ row: one, rowVersion: 1, writtenBy: 'test' })),
      history: [],
    },
  },
  {
    type: 'keys',
    keys: {
      partner: identifier('ensemble'),
      keys: [
        { name: 'caller', role: 'caller', sha256: sha256(CALLER_SECRET) },
        { name: 'operator', role: 'operator', sha256: sha256(OPERATOR_SECRET) },
      ],
    },
  },
  {
    type: 'layout',
    layout: {
      partner: identifier('ensemble'),
      snapshots: [
        {
          version: 1,
          shards: SHARDS.map((shard) => ({
            shard: identifier<never>(shard),
            service: identifier<never>('desk'),
          })),
        },
      ],
    },
  },
  {
    type: 'status',
    status: {
      partner: identifier('ensemble'),
      service: identifier('desk'),
      replicas: ports.map((port, index) => ({
        replica: identifier<never>(`desk-r${index}`),
        zone: identifier<never>('bole'),
        host: '127.0.0.1',
        port,
        slots: 8,
        connections: 70,
        lifecycle: 'ready' as const,
        snapshots: [1],
      })),
    },
  },
];

/** Settings of a node whose ports are chosen by the kernel. */
export const nodeSettings = (
  platform: string,
  changes: Partial<NodeSettings> = {},
): NodeSettings => ({
  node: 'bole-1',
  zone: 'bole',
  region: 'addis',
  caller: LOOPBACK,
  peer: LOOPBACK,
  operator: LOOPBACK,
  platform,
  seeds: [],
  peerSecret: PEER_SECRET,
  logLevel: 'error',
  seed: 1,
  ...changes,
});

/** Creates a log that records its lines. */
export const createMemoryLog = (): { lines: string[]; log: LogWriter } => {
  const lines: string[] = [];
  return { lines, log: (level, part, sentence) => lines.push(`${level} [${part}] ${sentence}`) };
};

/** Waits until `condition` holds; throws after 2,000 checks, about 10 s. */
export const until = async (condition: () => boolean, what: string): Promise<void> => {
  for (let polls = 0; !condition(); polls += 1) {
    if (polls > 2_000) {
      throw new Error(`timed out waiting until ${what}`);
    }
    await delay(5);
  }
};

/** Starts a node and waits until it serves. */
export const startServingNode = async (
  settings: NodeSettings,
  log: LogWriter = () => undefined,
): Promise<RunningNode> => {
  const node = await startNode(settings, { log });
  await until(() => node.state.phase === 'serving', `${settings.node} serves`);
  return node;
};

/** A query to the caller port; the defaults are valid. */
export interface TestQuery {
  readonly secret?: string;
  readonly kind?: string;
  readonly path?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly signal?: AbortSignal;
}

/** Sends a query to a node. */
export const sendQuery = (node: RunningNode, query: TestQuery = {}): Promise<Response> =>
  fetch(`http://127.0.0.1:${node.ports.caller}${query.path ?? '/v1/ensemble/roster'}`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${query.secret ?? CALLER_SECRET}`,
      'x-crossroad-kind': query.kind ?? 'page',
      ...query.headers,
    },
    body: query.body ?? '{"payload":{"season":"spring"}}',
    ...(query.signal === undefined ? {} : { signal: query.signal }),
  });
