/** Long run of `npm run fuzz`: runs `FUZZ_RUNS` histories and writes a failing one to a file. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { expect, it } from 'vitest';
import { encodeHistory } from '../../src/replay/history-file.js';
import { fuzz } from './commands.js';

const seed = Number(process.env['FUZZ_SEED'] ?? '1');
const runs = Number(process.env['FUZZ_RUNS'] ?? '1000');
const directory = 'out/fuzz';

it(`violates no invariant in ${runs} histories, seed ${seed}`, { timeout: 3_600_000 }, () => {
  const failure = fuzz({ seed, runs });
  if (failure !== undefined) {
    mkdirSync(directory, { recursive: true });
    const file = `${directory}/history-${seed}.json`;
    writeFileSync(file, encodeHistory(failure.history));
    process.stderr.write(`fuzz: history ${failure.runs} failed: ${failure.problem}\n`);
    process.stderr.write(`fuzz: the shortest history found is in ${file}; replay it with\n`);
    process.stderr.write(`fuzz:   crossroad replay ${file}\n`);
  }
  expect(failure?.problem).toBeUndefined();
});
