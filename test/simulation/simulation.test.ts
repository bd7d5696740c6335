import { describe, expect, it } from 'vitest';
import { identifier } from '../../src/core/identifiers.js';
import { TraceHasher } from '../../src/simulation/trace.js';
import { createSmallSimulation, PAGE } from './small-world.js';

const runScript = (seed: number): { digest: string; steps: number } => {
  const trace = new TraceHasher();
  const simulation = createSmallSimulation({ seed, observers: [trace] });
  simulation.runFor(2_000);
  simulation.call('bole-1', PAGE);
  simulation.runFor(20);
  simulation.node('arada-1').crash();
  simulation.network.reachability.cutZones('bole', 'swansea-hall');
  simulation.runFor(2_000);
  simulation.node('arada-1').start();
  simulation.node('bole-1').pause();
  simulation.runFor(500);
  simulation.node('bole-1').wake();
  simulation.store.setFaults({ down: true });
  simulation.call('arada-1', PAGE);
  simulation.runFor(3_000);
  return { digest: trace.digest(), steps: trace.steps };
};

describe('Simulation', () => {
  it('produces identical traces for the same seed and different traces for different seeds', () => {
    const first = runScript(7);
    const second = runScript(7);
    expect(first.steps).toBeGreaterThan(10);
    expect(second).toEqual(first);
    expect(runScript(8).digest).not.toBe(first.digest);
  });

  it('puts the objects of the store into force on every node', () => {
    const simulation = createSmallSimulation({ seed: 1 });
    simulation.runFor(3_000);
    for (const node of simulation.nodes.values()) {
      expect(node.state?.phase).toBe('serving');
      expect(node.state?.configuration.revision).toBe(simulation.store.model.revision);
    }
  });

  it('queues events while a node is paused and delivers them when it resumes', () => {
    const simulation = createSmallSimulation({ seed: 1 });
    simulation.runFor(3_000);
    const node = simulation.node('bole-1');
    node.pause();
    const before = node.state?.configuration.revision;
    simulation.store.put('sheet/tawe', {
      type: 'sheet',
      sheet: { partner: identifier('tawe'), rows: [], history: [] },
    });
    simulation.runFor(100);
    expect(node.state?.configuration.revision).toBe(before);
    node.wake();
    simulation.runFor(2_000);
    expect(node.state?.configuration.revision).toBe(simulation.store.model.revision);
  });

  it('restarts a node with empty state as a new incarnation', () => {
    const simulation = createSmallSimulation({ seed: 1 });
    simulation.runFor(3_000);
    const node = simulation.node('bole-1');
    const before = node.state;
    node.crash();
    expect(node.state).toBeUndefined();
    simulation.runFor(1_000);
    node.start();
    expect(node.state).not.toBe(before);
    expect(node.state?.self.incarnation).toBeGreaterThan(before?.self.incarnation ?? Infinity);
  });

  it('marks the calls of a crashed node as lost', () => {
    const simulation = createSmallSimulation({ seed: 1 });
    simulation.runFor(3_000);
    const call = simulation.call('bole-1', PAGE);
    simulation.runFor(1.5);
    simulation.node('bole-1').crash();
    simulation.runFor(1_000);
    expect(call.lost).toBe('connection-lost');
    expect(simulation.call('bole-1', PAGE).lost).toBeUndefined();
    simulation.runFor(10);
    expect(simulation.calls[1]?.lost).toBe('node-down');
  });
});
