import { afterEach, describe, expect, it, vi } from 'vitest';
import { step } from '../../src/core/reducer.js';
import { PARTNERS, runRace } from './race.js';

const EDITS = 1_000;

describe('concurrent edits by two operators of each partner', () => {
  it.each([1, 2, 35])('keep every guarantee with 10% of the answers lost (seed %i)', (seed) => {
    const result = runRace(step, seed, EDITS);
    expect(result.violations).toEqual([]);
    expect(result.edits).toHaveLength(EDITS);
    // The run must cover outcomes of each kind and retries, and every edit must have an outcome.
    expect(result.accepted + result.conflicting + result.refused).toBe(EDITS);
    expect(result.accepted).toBeGreaterThan(EDITS / 4);
    expect(result.conflicting).toBeGreaterThan(EDITS / 50);
    expect(result.refused).toBeGreaterThan(EDITS / 100);
    expect(result.resent).toBeGreaterThan(10);
    const retries = result.world.nodes.map(({ core }) => core.counters.edit_retries);
    expect(retries.reduce((sum, each) => sum + each, 0)).toBeGreaterThan(10 * retries.length);
    expect(result.world.unanswered).toBeGreaterThan(EDITS / 5);
    const versions = PARTNERS.map(
      (partner) => result.world.store.read(`sheet/${partner}`)?.version,
    );
    expect(versions.reduce((sum: number, version) => sum + (version ?? 0), 0)).toBe(
      result.accepted,
    );
  });
});

describe('a core without one of its checks', () => {
  afterEach(() => {
    vi.doUnmock('../../src/core/editing/edit-history.js');
    vi.doUnmock('../../src/core/editing/find-conflicts.js');
    vi.resetModules();
  });

  const raceWithout = async (module: string, name: string, broken: unknown): Promise<string[]> => {
    vi.resetModules();
    vi.doMock(module, async (original) => ({ ...(await original<object>()), [name]: broken }));
    const { step: brokenStep } = await import('../../src/core/reducer.js');
    return [...runRace(brokenStep, 1, EDITS).violations];
  };

  it('is detected when it does not look up the id of an edit', async () => {
    const module = '../../src/core/editing/edit-history.js';
    const found = await raceWithout(module, 'findRecord', () => undefined);
    expect(found.some((violation) => violation.includes('stands 1 times'))).toBe(true);
  });

  it('is detected when it does not look for conflicts', async () => {
    const module = '../../src/core/editing/find-conflicts.js';
    const found = await raceWithout(module, 'findConflicts', () => []);
    expect(found.some((violation) => violation.includes('had not seen'))).toBe(true);
  });
});
