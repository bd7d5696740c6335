/** Arbitraries of the actions for stateful fuzzing. */
import fc from 'fast-check';
import {
  type Action,
  MOMENT_NAMES,
  REPLICA_FAULT_NAMES,
  TRAP_FAULT_NAMES,
} from '../../src/simulation/history/action.js';

const index = fc.nat(9);
const key = fc.nat(3);

const query: fc.Arbitrary<Action> = fc.record({
  type: fc.constant('query'),
  node: index,
  row: index,
  key,
});

const book: fc.Arbitrary<Action> = fc.record({
  type: fc.constant('book'),
  node: index,
  row: index,
  key,
});

const advance: fc.Arbitrary<Action> = fc.record({
  type: fc.constant('advance'),
  ms: fc.oneof(fc.nat(20), fc.nat(500), fc.nat(6_000)),
});

const process: fc.Arbitrary<Action> = fc.record({
  type: fc.constantFrom('crash', 'restart', 'restart', 'pause', 'wake', 'wake', 'stop'),
  node: index,
});

const cut: fc.Arbitrary<Action> = fc.oneof(
  fc.record({ type: fc.constant('cut-zones'), first: index, second: index }),
  fc.record({ type: fc.constant('isolate'), node: index }),
  fc.record({ type: fc.constant('cut-store'), zone: index }),
  fc.record({ type: fc.constant('heal') }),
  fc.record({ type: fc.constant('heal') }),
  fc.record({
    type: fc.constant('network'),
    lossShare: fc.constantFrom(0, 0.01, 0.2),
    duplicateShare: fc.constantFrom(0, 0.2),
    jitterMs: fc.constantFrom(0.1, 5, 100),
  }),
);

const store: fc.Arbitrary<Action> = fc.record({
  type: fc.constant('store'),
  down: fc.boolean(),
  delayMs: fc.constantFrom(0, 100, 6_000),
  loseAnswerShare: fc.constantFrom(0, 0.1, 1),
});

const replica: fc.Arbitrary<Action> = fc.record({
  type: fc.constant('replica'),
  replica: index,
  fault: fc.constantFrom('none', ...REPLICA_FAULT_NAMES),
});

/** Pauses shorter and longer than the terms of leases (2 s) and grants (8 s). */
const nap: fc.Arbitrary<Action> = fc.record({
  type: fc.constant('nap'),
  node: index,
  ms: fc.constantFrom(300, 2_500, 9_000),
});

/** A fault that is triggered by an event. */
const trap: fc.Arbitrary<Action> = fc.record({
  type: fc.constant('trap'),
  moment: fc.constantFrom(...MOMENT_NAMES),
  fault: fc.constantFrom(...TRAP_FAULT_NAMES),
  target: index,
});

const drain: fc.Arbitrary<Action> = fc.record({
  type: fc.constant('drain'),
  replica: index,
  publishAfterMs: fc.constantFrom(0, 1_000, 10_000),
});

const rollOut: fc.Arbitrary<Action> = fc.oneof(
  fc.record({
    type: fc.constant('roll-out'),
    partner: index,
    addedShards: fc.nat(2),
    overMs: fc.constantFrom(0, 500, 5_000),
  }),
  fc.record({ type: fc.constant('publish'), replica: index }),
  fc.record({ type: fc.constant('add-snapshot'), partner: index, addedShards: fc.nat(2) }),
  fc.record({ type: fc.constant('load-snapshots'), replica: index }),
  fc.record({ type: fc.constant('load-snapshots'), replica: index }),
  fc.record({ type: fc.constant('retire-snapshot'), partner: index }),
);

const edit: fc.Arbitrary<Action> = fc.oneof(
  fc.record({
    type: fc.constant('edit'),
    node: index,
    row: index,
    deadlineMs: fc.integer({ min: 100, max: 2_000 }),
    stale: fc.boolean(),
  }),
  fc.record({ type: fc.constant('resend-edit'), node: index, edit: fc.nat(3) }),
  fc.record({
    type: fc.constant('race-edits'),
    first: index,
    second: index,
    row: index,
    deadlineMs: fc.integer({ min: 100, max: 2_000 }),
  }),
);

const rollBack: fc.Arbitrary<Action> = fc.record({
  type: fc.constant('roll-back-store'),
  writes: fc.integer({ min: 1, max: 5 }),
});

/** Any action; actions of callers and the passing of time are the most frequent. */
export const anyAction: fc.Arbitrary<Action> = fc.oneof(
  { arbitrary: query, weight: 6 },
  { arbitrary: book, weight: 5 },
  { arbitrary: advance, weight: 8 },
  { arbitrary: process, weight: 4 },
  { arbitrary: cut, weight: 3 },
  { arbitrary: store, weight: 1 },
  { arbitrary: replica, weight: 3 },
  { arbitrary: rollOut, weight: 2 },
  { arbitrary: edit, weight: 2 },
  { arbitrary: nap, weight: 1 },
  { arbitrary: trap, weight: 3 },
  { arbitrary: drain, weight: 1 },
  { arbitrary: rollBack, weight: 1 },
  { arbitrary: fc.record({ type: fc.constant('leave' as const), call: index }), weight: 1 },
);
