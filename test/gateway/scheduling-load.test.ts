/** The order in which attempts start at one feeder under load, with the replicas of its shards in virtual time. */
import { describe, expect, it } from 'vitest';
import { type LoadClass, ShardRig, THREE_REGIONS } from './shard-rig.js';

const RUN_MS = 2_500;

const alertsAt = (perSecond: number): LoadClass => ({
  name: 'alert',
  priority: 0,
  perSecond,
  workMs: 7.14,
  objectiveMs: 57.6,
  deadlineMs: 605,
});

const searchesAt = (perSecond: number, priority = 1): LoadClass => ({
  name: 'search',
  priority,
  perSecond,
  workMs: 21.4,
  objectiveMs: 172,
  deadlineMs: 1_204,
});

const runRig = (
  alerts: number,
  searches: number,
  rateAt?: (load: LoadClass, at: number) => number,
): ShardRig => {
  const rig = new ShardRig([alertsAt(alerts), searchesAt(searches)]);
  rig.run(RUN_MS, rateAt);
  return rig;
};

const waitingAfter = (rig: ShardRig): number => rig.gateway.state.scheduling.waiting;

describe('without scarcity', () => {
  it('lets no attempt wait, so that the usual path is unchanged', () => {
    const rig = runRig(30, 30);
    expect(rig.gateway.state.scheduling.queues.size).toBe(0);
    expect([rig.timelyShare('alert'), rig.timelyShare('search')]).toEqual([1, 1]);
  });
});

describe('a burst of alerts at 1.7 times the usual rate beside searches', () => {
  it('serves the alerts within their objective, and all searches', () => {
    const rig = runRig(150, 190, ({ name }, at) =>
      name === 'alert' && at > 800 && at < 2_000 ? 1.7 : 1,
    );
    expect(rig.timelyShare('alert')).toBeGreaterThan(0.98);
    expect(rig.servedShare('search')).toBeGreaterThan(0.98);
    expect([rig.refused, waitingAfter(rig)]).toEqual([0, 0]);
  });

  it('serves alerts at least as often as searches when both exceed the room together', () => {
    const rig = runRig(500, 90, ({ name }, at) =>
      name === 'alert' && at > 800 && at < 2_000 ? 1.7 : 1,
    );
    expect(rig.servedShare('alert')).toBeGreaterThanOrEqual(rig.servedShare('search'));
    expect(rig.servedShare('search')).toBeGreaterThanOrEqual(rig.totalShare * 0.25);
    expect(waitingAfter(rig)).toBe(0);
  });
});

describe('three times the room of a shard', () => {
  it('serves the alerts as usual when searches exceed it', () => {
    const rig = runRig(100, 780);
    expect(rig.timelyShare('alert')).toBeGreaterThan(0.98);
    expect(rig.servedShare('search')).toBeGreaterThanOrEqual(rig.totalShare * 0.25);
    expect(rig.mostAtReplica).toBeLessThanOrEqual(3);
    expect([rig.refused, waitingAfter(rig)]).toEqual([0, 0]);
  });
});

describe('alerts at twice the room of a shard', () => {
  it('do not starve the searches', () => {
    const rig = new ShardRig([alertsAt(1_600), searchesAt(40)], 1);
    // Long enough that the searches still waiting at the end, which are served without alerts, do not count much.
    rig.run(3 * RUN_MS);
    expect(rig.servedShare('search')).toBeGreaterThanOrEqual(rig.totalShare * 0.25);
    expect(rig.servedShare('alert')).toBeGreaterThanOrEqual(rig.servedShare('search'));
    expect(waitingAfter(rig)).toBe(0);
  }, 30_000);
});

describe('replicas that are 10 times slower', () => {
  it('get no alerts that another replica could answer in time', () => {
    const rig = new ShardRig([alertsAt(150), searchesAt(120)]);
    const [first = '', second = ''] = rig.shards;
    const slow = new Set([`${first}-bole-0`, `${second}-arada-1`]);
    rig.slowdownOf = (replica, at) => (slow.has(replica) && at > 400 && at < 2_000 ? 10 : 1);
    rig.run(RUN_MS);
    expect(rig.timelyShare('alert')).toBeGreaterThan(0.98);
    expect(rig.servedShare('search')).toBeGreaterThan(0.98);
  });
});

describe('a shard with one replica left', () => {
  it('serves the alerts within their objective and loses no search', () => {
    const rig = new ShardRig([alertsAt(60), searchesAt(60)]);
    const [shard = ''] = rig.shards;
    const objects = [`${shard}-arada-1`, `${shard}-bole-2`].map(
      (name) => ({ name, gone: true }) as const,
    );
    const changes = { collection: 'replicas', objects, revision: 5 } as const;
    rig.gateway.emit({ type: 'changes-read', at: 0, changes });
    rig.run(RUN_MS);
    expect(rig.timelyShare('alert')).toBeGreaterThan(0.97);
    expect(rig.servedShare('search')).toBeGreaterThan(0.97);
    expect(rig.refused).toBe(0);
  });
});

describe('two tenants of the same class, one of them 20 times larger', () => {
  it('serves the small one as often as the large one', () => {
    const large = { ...searchesAt(600), name: 'large', route: 'search' };
    const small = { ...searchesAt(30), name: 'small', route: 'search' };
    const rig = new ShardRig([alertsAt(50), large, small]);
    rig.run(RUN_MS);
    expect(rig.servedShare('large')).toBeLessThan(0.8);
    expect(rig.servedShare('small')).toBeGreaterThan(rig.servedShare('large') - 0.1);
  });
});

const LOOKUPS: LoadClass = {
  name: 'lookup',
  priority: 1,
  perSecond: 28,
  workMs: 28.6,
  objectiveMs: 229,
  deadlineMs: 3_011,
};

const CHECKS: LoadClass = {
  name: 'check',
  priority: 2,
  perSecond: 9.3,
  workMs: 9.57,
  objectiveMs: 130,
  deadlineMs: 2_013,
};

describe('one replica in each of three regions', () => {
  it('serves all classes in time while the one of the feeder is slow and the others have idle slots', () => {
    // A feeder used one slot of each replica of another region, and the less urgent class earned less than its floor.
    const rig = new ShardRig([LOOKUPS, CHECKS], 12, THREE_REGIONS);
    rig.slowdownOf = (replica, at) => (replica.includes('bole') && at > 300 ? 6.8 : 1);
    rig.run(RUN_MS);
    expect(rig.timelyShare('lookup')).toBeGreaterThan(0.98);
    expect(rig.timelyShare('check')).toBeGreaterThan(0.98);
  });
});

/** What customers ask of a class in their worst days, where all classes together earn more. */
const CLASS_FLOOR = 0.4;

describe('a lasting lack of room that leaves most requests in time', () => {
  // The less urgent class got a third of the share of all, too little for its floor.
  it('leaves its floor to a less urgent class with a shorter objective', () => {
    const rig = new ShardRig([LOOKUPS, CHECKS], 2, THREE_REGIONS);
    rig.run(2 * RUN_MS, () => 16);
    expect(rig.timelyShare('check')).toBeGreaterThan(CLASS_FLOOR);
    expect(rig.timelyShare('lookup')).toBeGreaterThan(rig.timelyShare('check'));
  }, 30_000);

  it('leaves its floor to a less urgent class with longer work', () => {
    const rig = runRig(800, 200);
    expect(rig.timelyShare('search')).toBeGreaterThan(CLASS_FLOOR);
    expect(rig.timelyShare('alert')).toBeGreaterThan(rig.timelyShare('search'));
  });
});
