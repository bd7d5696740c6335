/**
 * Compares variants ("ways") of the program on the same days and seeds: plays each way, prints its figures, and the
 * paired differences to the first way with their mean and standard deviation. See compare/README.md.
 */
import { mkdirSync } from 'node:fs';
import { basename, dirname, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { playAll } from './compare/play.mjs';
import { formatTables } from './compare/table.mjs';
import { collectJournal, prepareWay } from './compare/ways.mjs';

const USAGE = `compare.mjs --bench BENCH --out FOLDER --why TEXT --way NAME=FOLDER|NAME=git:REVISION ...
            --play SITE:DAY ... --seed N ... [--jobs N] [--limit-minutes N]`;

/** Concurrent plays: each needs a processor, and one that waits for a processor gets worse figures. */
const DEFAULT_JOBS = '2';

/** Time limit of a play: large days take 9 minutes. */
const DEFAULT_LIMIT_MINUTES = '20';

const MS_PER_MINUTE = 60_000;

const root = resolve(dirname(fileURLToPath(import.meta.url)), '../..');

const readOptions = () => {
  const many = { type: 'string', multiple: true };
  const { values } = parseArgs({
    options: {
      bench: { type: 'string' },
      out: { type: 'string' },
      why: { type: 'string' },
      way: many,
      play: many,
      seed: many,
      jobs: { type: 'string', default: DEFAULT_JOBS },
      'limit-minutes': { type: 'string', default: DEFAULT_LIMIT_MINUTES },
    },
  });
  const missing = ['bench', 'out', 'why', 'way', 'play', 'seed'].filter(
    (name) => values[name] === undefined,
  );
  const counts = [values.jobs, values['limit-minutes']].map(Number);
  if (missing.length > 0 || counts.some((count) => !(count >= 1))) {
    throw new Error(`missing: ${missing.join(', ') || 'a count of 1 or more'}\n${USAGE}`);
  }
  return { ...values, jobs: counts[0], limitMs: counts[1] * MS_PER_MINUTE };
};

/** Reads `SITE:DAY`. The path of the site file may contain colons, so the day follows the last one. */
const readPlay = (text) => {
  const split = text.lastIndexOf(':');
  const siteFile = resolve(text.slice(0, split));
  return { siteFile, site: basename(siteFile, '.toml'), day: text.slice(split + 1) };
};

/** Lists all ways of one day and seed in succession, so that pairs are played under similar load. */
const listPlays = ({ play, seed: seeds }, ways) =>
  play
    .map(readPlay)
    .flatMap((day) =>
      seeds.flatMap((seed) =>
        ways.map(({ name, folder }) => ({ ...day, seed, way: name, folder })),
      ),
    );

const describe = ({ site, day, seed, way }) => `${site} ${day} seed ${seed} ${way}`;

const printFailures = (ended) => {
  const failed = ended.filter(({ failure }) => failure !== undefined);
  failed.forEach((play) => console.log(`FAILED ${describe(play)}: ${play.failure}`));
  return failed.length;
};

const main = async () => {
  const options = readOptions();
  const out = resolve(options.out);
  mkdirSync(out, { recursive: true });
  const ways = options.way.map((text) => prepareWay(text, root, out));
  const plays = listPlays(options, ways);
  const { bench, why, limitMs } = options;
  const ended = await playAll(plays, options.jobs, { bench, why, out, limitMs }, (play, count) =>
    console.error(`${count} of ${plays.length}: ${describe(play)}`),
  );
  ways.forEach((way) => collectJournal(way, root));
  const played = ended.filter(({ figures }) => figures !== undefined);
  const names = ways.map(({ name }) => name);
  formatTables(played, names).forEach((line) => console.log(line));
  process.exitCode = printFailures(ended) > 0 ? 1 : 0;
};

await main();
