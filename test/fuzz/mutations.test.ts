import { describe, expect, it } from 'vitest';
import { PROMISE_NAMES } from '../../src/protocol/promise-name.js';
import { replayHistory } from '../../src/replay/replay-history.js';
import type { History } from '../../src/simulation/history/action.js';
import { fuzz } from './commands.js';
import { MUTATIONS } from './mutations.js';

/** Maximum number of histories within which each faulty core must be detected. */
const HISTORIES = 1_000;
const SEED = 20_261_202;

describe('mutated core', () => {
  it('exists for each invariant', () => {
    expect(new Set(MUTATIONS.map(({ promise }) => promise))).toEqual(new Set(PROMISE_NAMES));
  });

  it.each(MUTATIONS)(
    'with $name is detected by the check of $promise',
    ({ promise, createStep }) => {
      const failure = fuzz({
        seed: SEED,
        runs: HISTORIES,
        only: promise,
        endOnFailure: true,
        createStep,
      });
      expect(failure?.problem).toContain(promise);
      const history = failure?.history as History;
      const broken = replayHistory(history, createStep()).unsafeCoerce();
      expect(broken).toMatchObject({ sameAgain: true });
      expect(replayHistory(history).unsafeCoerce()).toMatchObject({
        sameAgain: false,
        violations: [],
      });
    },
  );
});
