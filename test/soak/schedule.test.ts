import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { drawPlan, type SoakOptions } from '../../soak/model/plan.js';

const optionsOf = (seed: number): SoakOptions => ({
  seed,
  gateways: 6,
  durationMs: 60_000,
  callersPerGateway: 4,
});

describe('the plan of a soak', () => {
  it('is the same for the same seed', () => {
    fc.assert(
      fc.property(fc.integer({ min: 0, max: 1_000_000 }), (seed) => {
        expect(drawPlan(optionsOf(seed))).toEqual(drawPlan(optionsOf(seed)));
      }),
    );
  });

  it('differs from seed to seed', () => {
    const plans = Array.from({ length: 20 }, (_, seed) =>
      JSON.stringify(drawPlan(optionsOf(seed))),
    );
    expect(new Set(plans).size).toBe(plans.length);
  });

  it('has restarts of replicas, overwritten entries and leaving callers for seeds from 3,000 on', () => {
    const plans = Array.from({ length: 20 }, (_, index) => drawPlan(optionsOf(3_000 + index)));
    const types = new Set(plans.flatMap(({ schedule }) => schedule).map(({ fault }) => fault.type));
    expect(types).toContain('replica-restarts');
    expect(types).toContain('entry-spoilt');
    expect(types).toContain('store-returns');
    const waits = plans.flatMap(({ poisonRequests }) => poisonRequests);
    expect(waits.some(({ leavesAfterMs }) => leavesAfterMs !== undefined)).toBe(true);
    expect(waits.some(({ leavesAfterMs }) => leavesAfterMs === undefined)).toBe(true);
  });

  it('has no restarts of replicas or overwritten entries for smaller seeds', () => {
    const { schedule, poisonCrashDelayMs, publishesStartTimes } = drawPlan(optionsOf(2_999));
    const types = new Set(schedule.map(({ fault }) => fault.type));
    expect([types.has('replica-restarts'), types.has('entry-spoilt')]).toEqual([false, false]);
    expect({ poisonCrashDelayMs, publishesStartTimes }).toEqual({
      poisonCrashDelayMs: 0,
      publishesStartTimes: false,
    });
  });

  it('has tenants, their changes and loads for seeds from 4,000 on, and no restores of the store', () => {
    const plans = Array.from({ length: 20 }, (_, index) => drawPlan(optionsOf(4_000 + index)));
    expect(plans.every(({ hasTenants }) => hasTenants)).toBe(true);
    expect(plans.every(({ bounds }) => bounds.keyRevocationMs === 5_000)).toBe(true);
    const faults = plans.flatMap(({ schedule }) => schedule.map(({ fault }) => fault));
    expect(new Set(faults.flatMap((each) => ('change' in each ? each.change : [])))).toEqual(
      new Set(['revoke-key', 'move-key', 'lower-quota']),
    );
    expect(new Set(faults.flatMap((each) => ('load' in each ? each.load : [])))).toEqual(
      new Set(['over-quota', 'over-capacity']),
    );
    expect(faults.map(({ type }) => type)).not.toContain('store-returns');
  });

  it('has only versions, changes and loads of tenants with each fourth of these seeds', () => {
    const { schedule, poisonRequests } = drawPlan(optionsOf(4_003));
    const types = new Set(schedule.map(({ fault }) => fault.type));
    expect(types).toEqual(new Set(['configure', 'tenant-change', 'tenant-load']));
    expect(poisonRequests).toEqual([]);
  });

  it('has a region for each zone and few slots at shards for seeds from 6,000 on only', () => {
    const setupOf = (seed: number) => {
      const { hasTenants, hasRegionPerZone, shardSlots } = drawPlan(optionsOf(seed));
      return { hasTenants, hasRegionPerZone, shardSlots };
    };
    expect(setupOf(5_999)).toEqual({ hasTenants: true, hasRegionPerZone: false, shardSlots: 24 });
    expect(setupOf(6_000)).toEqual({ hasTenants: true, hasRegionPerZone: true, shardSlots: 12 });
  });

  it('has long requests and a second planned stop for seeds from 7,000 on only', () => {
    const stopsOf = (seed: number) =>
      drawPlan(optionsOf(seed)).plannedWork.flatMap(({ fault }) =>
        fault.type === 'stop-in-turn' ? fault.gateways : [],
      );
    expect(drawPlan(optionsOf(6_998)).hasLongRequests).toBe(false);
    expect(drawPlan(optionsOf(7_000)).hasLongRequests).toBe(true);
    expect(stopsOf(6_998)).toHaveLength(1);
    expect(new Set(stopsOf(7_000)).size).toBe(2);
  });

  it('has none of these for smaller seeds', () => {
    const { schedule, hasTenants, bounds } = drawPlan(optionsOf(3_999));
    const types = schedule.map(({ fault }) => fault.type);
    expect(types.filter((type) => type.startsWith('tenant-'))).toEqual([]);
    expect([hasTenants, bounds.keyRevocationMs, bounds.quotaWindowMs]).toEqual([
      false,
      undefined,
      undefined,
    ]);
  });

  it('has every kind of fault across some seeds, all in time and on existing gateways', () => {
    const faults = Array.from(
      { length: 50 },
      (_, seed) => drawPlan(optionsOf(seed)).schedule,
    ).flat();
    expect([...new Set(faults.map(({ fault }) => fault.type))].sort()).toEqual([
      'change-and-forget',
      'configure',
      'delay-watches',
      'kill',
      'mute-watches',
      'pause',
      'peer-link',
      'reload',
      'replica-leaves',
      'replica-loses-answers',
      'stop-in-turn',
      'store-down',
      'store-link',
      'store-loses-answers',
    ]);
    expect(Math.max(...faults.map(({ atMs }) => atMs))).toBeLessThan(60_000 - 7_000 - 12_000);
    const gateways = faults.flatMap(({ fault }) => ('gateways' in fault ? fault.gateways : []));
    expect(Math.max(...gateways)).toBeLessThan(6);
  });

  it('has replicas that break off their answers for seeds from 11,000 on only', () => {
    const typesOf = (seed: number) =>
      drawPlan(optionsOf(seed)).schedule.map(({ fault }) => fault.type);
    expect(typesOf(11_000)).toContain('replica-breaks-off');
    expect(typesOf(10_999)).not.toContain('replica-breaks-off');
  });

  it('has failing services and two kills of all gateways meanwhile for seeds from 9,000 on', () => {
    const { schedule, hasFailingServices } = drawPlan(optionsOf(9_000));
    const failing = schedule.find(({ fault }) => fault.type === 'service-fails');
    const killsOfAll = schedule.filter(
      ({ atMs, fault }) =>
        fault.type === 'kill' && fault.gateways.length === 6 && atMs > (failing?.atMs ?? Infinity),
    );
    expect(hasFailingServices).toBe(true);
    expect(killsOfAll.length).toBeGreaterThanOrEqual(2);
    expect(drawPlan(optionsOf(8_999)).hasFailingServices).toBe(false);
  });

  it('has callers that send requests while earlier ones are in progress for seeds from 10,000 on only', () => {
    expect(drawPlan(optionsOf(9_999)).concurrentCallers).toBeUndefined();
    expect(drawPlan(optionsOf(10_000)).concurrentCallers?.linkDelayMs).toBeGreaterThan(0);
  });

  it('has only planned work, with pairs of stops, for the second of each four of these seeds', () => {
    const { schedule, plannedWork, poisonRequests } = drawPlan(optionsOf(10_001));
    const faults = schedule.map(({ fault }) => fault);
    const types = new Set(
      [...faults, ...plannedWork.map(({ fault }) => fault)].map(({ type }) => type),
    );
    expect([...types].sort()).toEqual([
      'configure',
      'reload',
      'replica-leaves',
      'stop-in-turn',
      'tenant-change',
    ]);
    const stopped = faults.flatMap((fault) =>
      fault.type === 'stop-in-turn' ? fault.gateways : [],
    );
    expect(stopped.length).toBeGreaterThanOrEqual(4);
    expect(stopped[0]).not.toBe(stopped[1]);
    expect(faults).not.toContainEqual(expect.objectContaining({ how: 'crash' }));
    expect(poisonRequests).toEqual([]);
  });
});
