/** Plays days in the folders of ways and reads their reports. */
import { spawn } from 'node:child_process';
import { closeSync, existsSync, openSync, readFileSync } from 'node:fs';
import { clearTimeout, setTimeout } from 'node:timers';
import { readFigures, readObjections } from './figures.mjs';

/** Runs a program with its output in a file; resolves with its exit code or the signal that terminated it. */
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

/** Reads the figures of a report, or the reason for which they can't be used. */
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

/** Plays one day unless a report exists; resolves with the play and its figures or failure. */
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

/** Plays all in order, up to `jobs` concurrently, and calls `onEnd` after each. */
export const playAll = async (plays, jobs, options, onEnd) => {
  const waiting = [...plays];
  const ended = [];
  const playNext = async () => {
    for (let play = waiting.shift(); play !== undefined; play = waiting.shift()) {
      const result = await playDay(play, options);
      ended.push(result);
      onEnd(result, ended.length);
    }
  };
  await Promise.all(Array.from({ length: jobs }, playNext));
  return ended;
};
