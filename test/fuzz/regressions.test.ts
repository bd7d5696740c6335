import { readdirSync, readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { historySchema } from '../../src/simulation/history/action.js';
import { runHistory } from '../../src/simulation/history/run-history.js';

const DIRECTORY = new URL('./histories/', import.meta.url);

/** Histories that violated an invariant before a fault was fixed, shrunk by the fuzzer. */
describe('regression histories of the fuzzer', () => {
  it.each(readdirSync(DIRECTORY))('%s violates no invariant and is reproducible', (file) => {
    const text = readFileSync(new URL(file, DIRECTORY), 'utf8');
    const history = historySchema.parse(JSON.parse(text));
    const first = runHistory(history);
    expect(first.violations).toEqual([]);
    expect(runHistory(history)).toEqual(first);
  });
});
