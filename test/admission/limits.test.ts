import { describe, expect, it } from 'vitest';
import { findHolder } from '../../src/core/admission/find-holder.js';
import type { Simulation } from '../../src/simulation/simulation.js';
import {
  answeredShare,
  CONCURRENT_LIMIT,
  createLimitWorld,
  NODES,
  NOTICE,
  PAGE,
  PER_SECOND_LIMIT,
  RATED_ROW,
  ROW,
  sendLoad,
} from './limit-world.js';

const holderOf = (simulation: Simulation, row: string): string => {
  const state = simulation.node('bole-1').state ?? simulation.node('arada-1').state;
  if (state === undefined) {
    throw new Error('no node runs');
  }
  return findHolder(state, row);
};

/** Calls a node and retries after the given delays until answered, `maxWaitMs` milliseconds at most. */
const retryUntilAnswered = (
  simulation: Simulation,
  node: string,
  maxWaitMs: number,
): { answered: boolean } => {
  const result = { answered: false };
  const giveUpAt = simulation.now + maxWaitMs;
  const attempt = (): void => {
    const call = simulation.call(node, PAGE);
    simulation.after(60, () => {
      if (call.outcome?.type === 'answered') {
        result.answered = true;
      } else if (call.outcome?.type === 'not-run' && simulation.now < giveUpAt) {
        simulation.after(call.outcome.retryAfterMs ?? 100, attempt);
      }
    });
  };
  attempt();
  return result;
};

const listOthers = (name: string): string[] => NODES.filter((node) => node !== name);

describe('limits over all nodes', () => {
  it('are granted within 10 s after a fresh start, before any query arrives', () => {
    const { simulation, observer } = createLimitWorld({ seed: 1 });
    simulation.runFor(10_000);
    expect(observer.held(ROW, 'concurrent')).toBeGreaterThanOrEqual(NODES.length);
    expect(observer.held(RATED_ROW, 'per-second')).toBeGreaterThan(PER_SECOND_LIMIT / 2);
    sendLoad(simulation, NODES, PAGE, 20, 2_000);
    simulation.runFor(3_000);
    expect(answeredShare(simulation, 0)).toBe(1);
  });

  it('are granted to the node with the demand, and leave a share for the others', () => {
    const { simulation, observer } = createLimitWorld({ seed: 2 });
    simulation.runFor(6_000);
    sendLoad(simulation, ['bole-1'], PAGE, 0.5, 15_000);
    simulation.runFor(8_000);
    const use = simulation.node('bole-1').state?.admission.uses.get(`${ROW}|concurrent`);
    expect(use?.held?.amount).toBe(CONCURRENT_LIMIT);
    const outcomes = NODES.slice(1).map((node) => retryUntilAnswered(simulation, node, 3_000));
    simulation.runFor(4_000);
    expect(outcomes.map(({ answered }) => answered)).toEqual([true, true, true, true, true]);
    expect(observer.maxHeld).toBeLessThanOrEqual(CONCURRENT_LIMIT);
  });

  it('bound the rate of all nodes together, including the bursts of their buckets', () => {
    const { simulation } = createLimitWorld({ seed: 3 });
    simulation.runFor(6_000);
    const start = simulation.now;
    sendLoad(simulation, NODES, NOTICE, 1, 10_000);
    simulation.runFor(11_000);
    const answered = simulation.calls.filter(({ outcome }) => outcome?.type === 'answered').length;
    expect(simulation.now - start).toBe(11_000);
    expect(answered).toBeLessThanOrEqual(PER_SECOND_LIMIT * 10 + NODES.length);
    expect(answered).toBeGreaterThan(PER_SECOND_LIMIT * 10 * 0.85);
    const refused = simulation.calls.find(({ outcome }) => outcome?.type === 'not-run');
    expect(refused?.outcome).toMatchObject({ reason: 'over-limit' });
    expect(refused?.outcome?.type === 'not-run' && refused.outcome.retryAfterMs).toBeGreaterThan(0);
  });

  it('cause no refusal when their holder crashes', () => {
    const { simulation, observer } = createLimitWorld({ seed: 4 });
    simulation.runFor(15_000);
    const holder = holderOf(simulation, ROW);
    const rest = listOthers(holder);
    sendLoad(simulation, rest, PAGE, 25, 30_000);
    simulation.runFor(2_000);
    const crashedAt = simulation.now;
    simulation.node(holder).crash();
    simulation.runFor(30_000);
    expect(answeredShare(simulation, crashedAt)).toBe(1);
    expect(observer.maxHeld).toBeLessThanOrEqual(CONCURRENT_LIMIT);
  });

  it('are granted again within 15 s after all nodes have restarted at once', () => {
    const { simulation, observer } = createLimitWorld({ seed: 9 });
    simulation.runFor(15_000);
    const restartedAt = simulation.now;
    NODES.forEach((node) => simulation.node(node).crash());
    NODES.forEach((node) => simulation.node(node).start());
    const isGranted = (): boolean => observer.held(ROW, 'concurrent') > 0;
    while (!isGranted() && simulation.now < restartedAt + 30_000) {
      simulation.runFor(100);
    }
    expect(simulation.now - restartedAt).toBeLessThan(15_000);
    expect(simulation.now - restartedAt).toBeGreaterThan(8_000);
    expect(observer.maxHeld).toBeLessThanOrEqual(CONCURRENT_LIMIT);
  });

  it('cause no refusal when their holder stops as planned', () => {
    const { simulation, observer } = createLimitWorld({ seed: 5 });
    simulation.runFor(15_000);
    const holder = holderOf(simulation, ROW);
    sendLoad(simulation, listOthers(holder), PAGE, 25, 20_000);
    simulation.runFor(2_000);
    simulation.node(holder).requestStop();
    simulation.runFor(20_000);
    expect(simulation.node(holder).isUp).toBe(false);
    expect(answeredShare(simulation, 15_000)).toBe(1);
    expect(observer.maxHeld).toBeLessThanOrEqual(CONCURRENT_LIMIT);
  });

  it('are returned by a node that stops as planned', () => {
    const { simulation } = createLimitWorld({ seed: 10 });
    simulation.runFor(15_000);
    const holder = holderOf(simulation, ROW);
    const stopping = listOthers(holder)[0] as string;
    const countedFor = (node: string): number | undefined =>
      simulation
        .node(holder)
        .state?.admission.tenures.get(ROW)
        ?.books.get('concurrent')
        ?.slices.get(node)?.counted;
    expect(countedFor(stopping)).toBeGreaterThan(0);
    simulation.node(stopping).requestStop();
    simulation.runFor(500);
    expect(countedFor(stopping) ?? 0).toBe(0);
  });

  it('lapse at a node that is cut off, while the other nodes continue to serve', () => {
    const { simulation, observer } = createLimitWorld({ seed: 6 });
    simulation.runFor(15_000);
    const holder = holderOf(simulation, ROW);
    const cutOff = listOthers(holder)[0] as string;
    simulation.network.reachability.isolate(cutOff);
    simulation.runFor(20_000);
    const alone = simulation.call(cutOff, PAGE);
    const served = simulation.call(holder, PAGE);
    simulation.runFor(1_000);
    expect(alone.outcome).toMatchObject({ type: 'not-run', reason: 'over-limit' });
    expect(served.outcome).toMatchObject({ type: 'answered' });
    expect(observer.maxHeld).toBeLessThanOrEqual(CONCURRENT_LIMIT);
  });

  it('are not used by a node after a process pause that outlasted its grant', () => {
    const { simulation, observer } = createLimitWorld({ seed: 7 });
    simulation.runFor(15_000);
    const paused = listOthers(holderOf(simulation, ROW))[0] as string;
    simulation.node(paused).pause();
    const late = [1, 2, 3].map(() => simulation.call(paused, PAGE));
    sendLoad(simulation, listOthers(paused), PAGE, 2, 30_000);
    simulation.runFor(25_000);
    simulation.node(paused).wake();
    simulation.runFor(1);
    expect(observer.maxHeld).toBeLessThanOrEqual(CONCURRENT_LIMIT);
    expect(observer.maxUsed).toBeLessThanOrEqual(CONCURRENT_LIMIT);
    simulation.runFor(1_000);
    expect(late.filter(({ outcome }) => outcome?.type === 'answered')).toEqual([]);
  });

  it('decrease at all nodes when their row is edited', () => {
    const { simulation, observer } = createLimitWorld({ seed: 8 });
    simulation.runFor(6_000);
    sendLoad(simulation, NODES, PAGE, 0.5, 20_000);
    simulation.runFor(5_000);
    expect(observer.used()).toBeGreaterThan(4);
    const sheet = simulation.store.model.read('sheet/ensemble' as never);
    if (sheet?.content.type !== 'sheet') {
      throw new Error('no sheet');
    }
    const rows = sheet.content.sheet.rows.map((entry) => ({
      ...entry,
      row: { ...entry.row, ...(entry.row.kind === PAGE.kind && { concurrentLimit: 4 }) },
    }));
    simulation.store.put('sheet/ensemble', {
      type: 'sheet',
      sheet: { ...sheet.content.sheet, rows },
    });
    simulation.runFor(6_000);
    observer.maxUsed = 0;
    simulation.runFor(8_000);
    expect(observer.maxUsed).toBeLessThanOrEqual(4);
    expect(observer.maxUsed).toBeGreaterThan(0);
  });
});
