/** The incident of test/gateway/unseen-crashes.test.ts over sockets: whether a replica has ended is seen on connections. */
import { setTimeout as delay } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { GatewayFixture, until } from './gateway-fixture.js';
import { routeSpec } from './operator-spec.js';
import type { ReplicaBehaviour, StandInReplica } from './stand-in-replica.js';

const SHARDS = ['a', 'b', 'c', 'd'];
const COPIES = [1, 2, 3];
const SERVICE = 'single';

const CONTACT_MS = 4_000;
const MOST_LATE_SENDS = 3;

/** Each 300 ms one, for so long. */
const EVERY_MS = 300;
const PLAYED_MS = 8_000;

/** A replica is back so long after it ended. */
const BACK_AFTER_MS = 2_000;

/** Work of a replica on any other request, and longer than a test lasts. */
const WORK_MS = 5;
const NEVER_MS = 60_000;

/** How the lethal request comes and what it does; one row each of what was seen. */
interface Incident {
  readonly path: string;
  /** How long after it has begun to run it a replica ends. */
  readonly endsAfterMs: number;
  /** The caller closes its connection after so long; absent where it waits. */
  readonly leavesAfterMs?: number;
  readonly budgetMs?: number;
  /** How one replica of each service answers in place of running it. */
  readonly firstCopy?: Partial<ReplicaBehaviour>;
}

/** Replicas that end under the lethal path, and start again under other identifiers. */
class EndingReplicas {
  readonly sends: number[] = [];
  readonly ends: number[] = [];
  isOver = false;

  constructor(
    private readonly fixture: GatewayFixture,
    private readonly incident: Incident,
  ) {}

  async start(service: string, copy: number, incarnation = 1): Promise<void> {
    const { fixture, incident } = this;
    const isFirst = copy === COPIES[0] && incident.firstCopy !== undefined;
    const id = `${service}-${copy}.${incarnation}`;
    const lethalMs = isFirst ? 0 : NEVER_MS;
    const workOf = (path: string): number => (path === incident.path ? lethalMs : WORK_MS);
    const replica = await fixture.addReplica(id, service, { workOf });
    replica.observer = {
      arrived: ({ path }) => {
        if (path !== incident.path) {
          return;
        }
        this.sends.push(performance.now());
        if (isFirst) {
          Object.assign(replica.behaviour, incident.firstCopy);
        } else {
          setTimeout(
            () => void this.end(replica, service, copy, incarnation),
            incident.endsAfterMs,
          );
        }
      },
      read: () => undefined,
      answered: () => Object.assign(replica.behaviour, { status: 200 }),
      ended: () => undefined,
    };
  }

  private async end(
    replica: StandInReplica,
    service: string,
    copy: number,
    incarnation: number,
  ): Promise<void> {
    if (!this.fixture.replicas.delete(replica.id)) {
      return;
    }
    this.ends.push(performance.now());
    await replica.stop();
    await delay(BACK_AFTER_MS);
    if (!this.isOver) {
      this.fixture.store.remove('servers', replica.id);
      await this.start(service, copy, incarnation + 1);
    }
  }

  get sendsTooLate(): number {
    const [, , third = Number.POSITIVE_INFINITY] = this.ends;
    return this.sends.filter((at) => at > third + CONTACT_MS).length;
  }
}

const play = async (incident: Incident): Promise<{ late: number; served: number }> => {
  const fixture = await GatewayFixture.create();
  const replicas = new EndingReplicas(fixture, incident);
  try {
    const gather = { path_prefix: '/all/', gather: SHARDS, top_k: 4, min_coverage: 0.5 };
    const single = { path_prefix: '/one/', service: SERVICE };
    fixture.configure([routeSpec(gather), routeSpec(single)], [...SHARDS, SERVICE], 40);
    for (const service of [...SHARDS, SERVICE]) {
      for (const copy of COPIES) {
        await replicas.start(service, copy);
      }
    }
    const peers = [await fixture.startPeer('front-2', 1), await fixture.startPeer('front-3', 1)];
    await fixture.serve();
    await until(() => fixture.gateway.state.peers.size === 3, 'the list is complete');
    const gateways = [fixture.gateway, ...peers].map(({ state }) => state.settings.callers);
    const others: Promise<boolean>[] = [];
    const began = performance.now();
    for (let tick = 0; performance.now() - began < PLAYED_MS; tick += 1) {
      const to = gateways[tick % gateways.length];
      const { path, budgetMs = 1_000, leavesAfterMs = 5_000 } = incident;
      const signal = AbortSignal.timeout(leavesAfterMs);
      const asked = { path, budgetMs, signal, ...(to !== undefined && { to }) };
      void fixture.request({ id: `lethal-${tick}`, ...asked }).catch(() => undefined);
      const other = { id: `other-${tick}`, path: '/all/other', ...(to !== undefined && { to }) };
      const isServed = fixture.request(other).then(({ status }) => status === 200);
      others.push(isServed.catch(() => false));
      await delay(EVERY_MS);
    }
    const served = await Promise.all(others);
    return {
      late: replicas.sendsTooLate,
      served: served.filter(Boolean).length / served.length,
    };
  } finally {
    replicas.isOver = true;
    await fixture.stop();
  }
};

const ROWS: readonly (readonly [string, Incident])[] = [
  ['callers leave, one service', { path: '/one/x', endsAfterMs: 90, leavesAfterMs: 40 }],
  ['callers leave, all shards', { path: '/all/x', endsAfterMs: 90, leavesAfterMs: 40 }],
  ['their time is over, one service', { path: '/one/x', endsAfterMs: 120, budgetMs: 70 }],
  ['their time is over, all shards', { path: '/all/x', endsAfterMs: 120, budgetMs: 70 }],
  [
    'one replica of each shard signs a failure',
    { path: '/all/x', endsAfterMs: 10, firstCopy: { status: 500 } },
  ],
  ['callers wait', { path: '/all/x', endsAfterMs: 10 }],
];

describe('a request that ends the replicas that run it, over sockets', () => {
  it.concurrent.each(ROWS)(
    'reaches replicas no more, and others are served: %s',
    async (_name, incident) => {
      const { late, served } = await play(incident);
      expect(late).toBeLessThanOrEqual(MOST_LATE_SENDS);
      expect(served).toBeGreaterThan(0.9);
    },
    40_000,
  );
});
