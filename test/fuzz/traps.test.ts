import { describe, expect, it } from 'vitest';
import { type Action, MOMENT_NAMES } from '../../src/simulation/history/action.js';
import { worldOf } from '../../src/simulation/history/run-history.js';
import { Tier } from '../../src/simulation/history/tier.js';

/** Actions that cause every event for which there are traps. */
const ACTIONS_FOR_ALL_MOMENTS: readonly Action[] = [
  { type: 'query', node: 0, row: 0, key: 0 },
  { type: 'book', node: 0, row: 0, key: 0 },
  { type: 'edit', node: 1, row: 0, deadlineMs: 500, stale: false },
  { type: 'advance', ms: 1_000 },
  { type: 'stop', node: 0 },
  { type: 'advance', ms: 10 },
];

const createTier = (): Tier => new Tier(worldOf({ world: 'small', nodesPerZone: 1 }), { seed: 1 });

describe('trap', () => {
  it.each(MOMENT_NAMES)('triggers at the event %s of a node', (moment) => {
    const tier = createTier();
    tier.apply({ type: 'trap', moment, fault: 'store-down', target: 0 });
    expect(tier.simulation.store.faults.down).toBe(false);
    ACTIONS_FOR_ALL_MOMENTS.forEach((action) => tier.apply(action));
    expect(tier.simulation.store.faults.down).toBe(true);
  });

  it('crashes a reader when an edit is accepted', () => {
    const tier = createTier();
    tier.apply({ type: 'trap', moment: 'edit-accepted', fault: 'crash-reader', target: 0 });
    ACTIONS_FOR_ALL_MOMENTS.slice(0, 4).forEach((action) => tier.apply(action));
    const down = [...tier.simulation.nodes.values()].filter(({ isUp }) => !isUp);
    expect(down).toHaveLength(1);
    tier.settle();
    expect(tier.violations).toEqual([]);
  });

  it('triggered by the last action takes effect before the tier is healed', () => {
    const tier = createTier();
    tier.apply({ type: 'trap', moment: 'stop-requested', fault: 'pause', target: 0 });
    tier.apply({ type: 'stop', node: 0 });
    tier.settle();
    expect(tier.simulation.node('bole-1').processState).not.toBe('paused');
  });
});
