/** Plays one day in the folder of one way, and reads its report. */
import { spawn } from 'node:child_process';
import { closeSync, existsSync, openSync, readFileSync } from 'node:fs';
import { clearTimeout, setTimeout } from 'node:timers';
import { readFigures, readObjections } from './figures.mjs';

/** Runs a program with its output in a file; resolves to its exit code, or to the signal that ended it. */
const run = (program, args, { cwd, log, limitMs }) =>
  new Promise((resolve, reject) => {
    const output = openSync(log, 'w');
    const child = spawn(program, args, { cwd, stdio: ['ignore', output, output] });
    closeSync(output);
    const timer = setTimeout(() => child.kill('SIGTERM'), limitMs);
    child.on('error', reject);
    child.on('close', (code, signal) => {
      clearTimeout(timer);
      resolve(signal ?? code);
    });
  });

/** The figures of a report, or what stands against taking them. */
const readReport = (path) => {
  if (!existsSync(path)) {
    return { failure: 'no report' };
  }
  try {
    const report = JSON.parse(readFileSync(path, 'utf8'));
    const objections = readObjections(report);
    return objections.length > 0
      ? { failure: objections.join('; ') }
      : { figures: readFigures(report) };
  } catch (error) {
    return { failure: `unreadable report: ${error.message}` };
  }
};

/** Adds to a play its figures, or its failure. */
const playDay = async (play, { bench, why, out, limitMs }) => {
  const { way, folder, site, siteFile, day, seed } = play;
  const path = `${out}/${site}-${day}-${seed}-${way}`;
  const reason = `${why} (way ${way}, seed ${seed})`;
  const options = ['--seed', seed, '--report', `${path}.json`, '--why', reason];
  const log = `${path}.txt`;
  const isPlayed = existsSync(`${path}.json`);
  const end = isPlayed
    ? 'a report of an earlier call'
    : await run(bench, ['run', siteFile, day, ...options], { cwd: folder, log, limitMs });
  const result = readReport(`${path}.json`);
  return result.failure === undefined
    ? { ...play, ...result }
    : { ...play, failure: `${result.failure} (ended with ${end}, output in ${log})` };
};

/** Takes the plays one after the other, `jobs` at once, and tells of each that has ended. */
export const playAll = async (plays, jobs, options, onEnd) => {
  const waiting = [...plays];
  const ended = [];
  const work = async () => {
    for (let play = waiting.shift(); play !== undefined; play = waiting.shift()) {
      const result = await playDay(play, options);
      ended.push(result);
      onEnd(result, ended.length);
    }
  };
  await Promise.all(Array.from({ length: jobs }, work));
  return ended;
};
