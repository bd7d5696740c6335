import { describe, expect, it } from 'vitest';
import { PERIOD_MS } from '../../src/core/keepers/keeper-timing.js';
import { parseIdempotencyKey } from '../../src/protocol/idempotency-key.js';
import type { Simulation } from '../../src/simulation/simulation.js';
import {
  bookingOf,
  countRuns,
  createDuplicatingStep,
  createOnceWorld,
  setZoneCut,
  createKeyNow,
  listFalseRefusals,
  maxRunsPerKey,
  NODES,
  SETTLED_MS,
} from './once-world.js';

const createSettledWorld = (seed: number): Simulation => {
  const simulation = createOnceWorld({ seed });
  simulation.runFor(SETTLED_MS);
  return simulation;
};

const book = (simulation: Simulation, node: string, key: string) => {
  const call = simulation.call(node, bookingOf(key));
  simulation.runFor(1_500);
  return call.outcome;
};

const describeOutcome = (outcome: ReturnType<typeof book>): string =>
  outcome?.type === 'answered' ? 'answered' : (outcome?.reason ?? 'none');

describe('a request that is not safe to repeat', () => {
  it('runs once, and a resend to any node is refused as already claimed', () => {
    const simulation = createSettledWorld(1);
    const key = createKeyNow(simulation, 1);
    expect(book(simulation, NODES[0], key)).toMatchObject({ type: 'answered' });
    for (const node of NODES) {
      const outcome = book(simulation, node, key.toUpperCase());
      expect(outcome).toMatchObject({ type: 'not-run', reason: 'already-claimed' });
    }
    expect(simulation.listRuns()).toHaveLength(1);
  });

  it('runs at most once when it is sent to all nodes at the same time', () => {
    const simulation = createSettledWorld(2);
    for (let round = 0; round < 20; round += 1) {
      const key = createKeyNow(simulation, round);
      NODES.forEach((node) => simulation.call(node, bookingOf(key)));
      simulation.runFor(1_500);
      expect(countRuns(simulation, key)).toBeLessThanOrEqual(1);
    }
    expect(listFalseRefusals(simulation)).toEqual([]);
  });

  it('runs at most once when its coordinator crashes at any moment and it is resent', () => {
    for (let crashAfterMs = 1; crashAfterMs < 20; crashAfterMs += 1) {
      const simulation = createSettledWorld(3);
      const key = createKeyNow(simulation, crashAfterMs);
      simulation.call(NODES[0], bookingOf(key));
      simulation.runFor(crashAfterMs);
      simulation.node(NODES[0]).crash();
      book(simulation, NODES[2], key);
      simulation.node(NODES[0]).start();
      simulation.runFor(SETTLED_MS);
      book(simulation, NODES[0], key);
      expect(maxRunsPerKey(simulation)).toBeLessThanOrEqual(1);
    }
  });

  it('runs in the partition with the majority of the keepers, and not again after healing', () => {
    const simulation = createSettledWorld(4);
    setZoneCut(simulation, 'bole', true);
    simulation.runFor(10_000);
    const outcomes = { inside: [] as string[], outside: [] as string[] };
    for (let number = 0; number < 10; number += 1) {
      const key = createKeyNow(simulation, number);
      outcomes.inside.push(describeOutcome(book(simulation, 'bole-1', key)));
      outcomes.outside.push(describeOutcome(book(simulation, 'arada-1', key)));
      expect(countRuns(simulation, key)).toBeLessThanOrEqual(1);
    }
    expect(new Set(outcomes.inside)).toEqual(new Set(['not-ready']));
    expect(outcomes.outside).toContain('answered');
    expect(outcomes.outside).not.toContain('not-ready');
    expect(outcomes.outside).not.toContain('already-claimed');
    setZoneCut(simulation, 'bole', false);
    simulation.runFor(10_000);
    for (const { query } of simulation.calls.slice(0, 20)) {
      book(simulation, 'bole-2', query.idempotencyKey ?? '');
    }
    expect(maxRunsPerKey(simulation)).toBe(1);
    expect(listFalseRefusals(simulation)).toEqual([]);
  });

  it('does not run again after every keeper has restarted, while new requests run', () => {
    const simulation = createSettledWorld(5);
    const key = createKeyNow(simulation, 1);
    expect(book(simulation, NODES[0], key)).toMatchObject({ type: 'answered' });
    for (const node of NODES) {
      simulation.node(node).crash();
      simulation.node(node).start();
      simulation.runFor(8_000);
    }
    for (const node of NODES) {
      expect(book(simulation, node, key)).toMatchObject({ type: 'not-run', reason: 'not-ready' });
    }
    const fresh = createKeyNow(simulation, 2);
    expect(book(simulation, NODES[3], fresh)).toMatchObject({ type: 'answered' });
    expect(maxRunsPerKey(simulation)).toBe(1);
  });

  it('is served again within 10 s after all nodes have restarted at once', () => {
    const simulation = createSettledWorld(12);
    simulation.runFor(30_000);
    const before = createKeyNow(simulation, 1);
    book(simulation, NODES[0], before);
    const restartedAt = simulation.now;
    NODES.forEach((node) => simulation.node(node).crash());
    NODES.forEach((node) => simulation.node(node).start());
    let number = 2;
    let outcome: ReturnType<typeof book>;
    while (outcome?.type !== 'answered' && simulation.now < restartedAt + 30_000) {
      const call = simulation.call(NODES[1], bookingOf(createKeyNow(simulation, number)));
      simulation.runFor(700);
      outcome = call.outcome;
      number += 1;
    }
    expect(simulation.now - restartedAt).toBeLessThan(10_000);
    expect(book(simulation, NODES[1], before)).toMatchObject({ reason: 'not-ready' });
  });

  it('runs at most once when a process pause of its coordinator delays a granted claim', () => {
    const simulation = createSettledWorld(6);
    const key = createKeyNow(simulation, 1);
    simulation.call(NODES[0], bookingOf(key));
    simulation.runFor(1.5);
    simulation.node(NODES[0]).pause();
    book(simulation, NODES[3], key);
    simulation.runFor(20_000);
    simulation.node(NODES[0]).wake();
    simulation.runFor(2_000);
    book(simulation, NODES[1], key);
    expect(countRuns(simulation, key)).toBeLessThanOrEqual(1);
    expect(listFalseRefusals(simulation)).toEqual([]);
  });

  it('releases its key when every replica has refused it', () => {
    const simulation = createSettledWorld(7);
    const replicas = [...simulation.replicas.values()];
    replicas.forEach((replica) => replica.setFaults({ shedding: true }));
    const key = createKeyNow(simulation, 1);
    expect(book(simulation, NODES[0], key)).toMatchObject({ type: 'not-run' });
    replicas.forEach((replica) => replica.setFaults({ shedding: false }));
    simulation.runFor(3_000);
    expect(book(simulation, NODES[4], key)).toMatchObject({ type: 'answered' });
    expect(book(simulation, NODES[0], key)).toMatchObject({ reason: 'already-claimed' });
  });

  it('does not release its key when a replica may have run it', () => {
    const simulation = createSettledWorld(8);
    const replicas = [...simulation.replicas.values()];
    replicas.forEach((replica) => replica.setFaults({ frozen: true }));
    const key = createKeyNow(simulation, 1);
    expect(book(simulation, NODES[0], key)).toMatchObject({ type: 'unknown' });
    replicas.forEach((replica) => replica.setFaults({ frozen: false }));
    simulation.runFor(3_000);
    expect(book(simulation, NODES[4], key)).toMatchObject({ reason: 'already-claimed' });
  });

  it('is refused if its key is not a UUID version 7, is too old or is in the future', () => {
    const simulation = createSettledWorld(9);
    const old = createKeyNow(simulation, 1);
    const random = '6f2b1b54-95f0-4c0e-8f6e-0d1f8d5c3a11';
    expect(book(simulation, NODES[0], random)).toMatchObject({ reason: 'key-invalid' });
    simulation.runFor(PERIOD_MS + 60_000);
    expect(book(simulation, NODES[0], old)).toMatchObject({ reason: 'key-invalid' });
    const ahead = createKeyNow({ now: simulation.now + 60_000 } as Simulation, 2);
    expect(book(simulation, NODES[0], ahead)).toMatchObject({ reason: 'key-invalid' });
    expect(simulation.listRuns()).toHaveLength(0);
  });

  it('is served while the store is down for an hour', () => {
    const simulation = createSettledWorld(10);
    simulation.runFor(7 * 60_000);
    simulation.store.setFaults({ down: true });
    simulation.runFor(55 * 60_000);
    expect(book(simulation, NODES[0], createKeyNow(simulation, 1))).toMatchObject({
      type: 'answered',
    });
  });

  it('keeps its claim until no node accepts its key, after which the claim is removed', () => {
    const simulation = createSettledWorld(11);
    const key = createKeyNow(simulation, 1);
    book(simulation, NODES[0], key);
    const countKeptClaims = (): number =>
      NODES.reduce((sum, node) => sum + (simulation.node(node).state?.once.keptCount ?? 0), 0);
    expect(countKeptClaims()).toBe(5);
    simulation.runFor(PERIOD_MS - 60_000);
    expect(book(simulation, NODES[1], key)).toMatchObject({ reason: 'already-claimed' });
    simulation.runFor(3 * PERIOD_MS);
    expect(countKeptClaims()).toBe(0);
    expect(simulation.listRuns()).toHaveLength(1);
  });

  it('runs at most once when messages about claims are duplicated and repeated late', () => {
    for (const seed of [21, 22, 23]) {
      const simulation = createOnceWorld({ seed, step: createDuplicatingStep(seed) });
      simulation.runFor(SETTLED_MS);
      for (let number = 0; number < 15; number += 1) {
        const key = createKeyNow(simulation, number);
        simulation.call(NODES[number % 6] as string, bookingOf(key));
        simulation.call(NODES[(number + 1) % 6] as string, bookingOf(key));
        simulation.runFor(1_500);
        book(simulation, NODES[(number + 2) % 6] as string, key);
      }
      expect(simulation.listRuns().length).toBeGreaterThan(10);
      expect(maxRunsPerKey(simulation)).toBe(1);
      expect(listFalseRefusals(simulation)).toEqual([]);
    }
  });
});

describe('idempotency keys', () => {
  it('contain their creation time and are normalised to lower case', () => {
    const key = '018f2f6e-7b00-7abc-9def-0123456789ab';
    const parsed = parseIdempotencyKey(key.toUpperCase()).unsafeCoerce();
    expect(parsed).toEqual({ text: key, createdAt: 0x018f2f6e7b00 });
    expect(parseIdempotencyKey(key.replace('-7abc', '-4abc')).isLeft()).toBe(true);
    expect(parseIdempotencyKey('').isLeft()).toBe(true);
  });
});
