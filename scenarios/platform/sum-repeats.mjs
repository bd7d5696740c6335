/**
 * Sums the extra attempts of all gateways from their log lines `retry-budget-used`.
 *
 * usage: sum-repeats.mjs LOG [WINDOW_SECONDS]
 *
 * Prints, for each service, the window with most extra attempts: their number by reason, denials, the gateways and
 * processes that sent them, the numbers of gateways that these assumed, and the greatest use of one process. A line covers
 * about the second before it, and the last ones of a killed process are lost.
 */
import { readFileSync } from 'node:fs';

const MOST_SERVICES = 12;
const [, , file, windowSeconds = '10'] = process.argv;
const windowMs = Number(windowSeconds) * 1_000;

const lines = readFileSync(file, 'utf8')
  .split('\n')
  .filter(
    (line) => line.includes('"event":"retry-budget-used"') || line.includes('"event":"started"'),
  )
  .map((line) => JSON.parse(line.slice(line.indexOf('{'))))
  .sort((left, right) => left.time - right.time);

const lives = new Map();
const uses = new Map();
for (const { time, node, event, gateways, services = {} } of lines) {
  if (event === 'started') {
    lives.set(node, (lives.get(node) ?? 0) + 1);
    continue;
  }
  for (const [service, use] of Object.entries(services)) {
    const known = uses.get(service) ?? [];
    uses.set(service, known);
    known.push({ time, node, process: `${node} #${lives.get(node) ?? 1}`, gateways, ...use });
  }
}

const sumOf = (entries, field) => entries.reduce((sum, entry) => sum + entry[field], 0);
const extrasOf = ({ retry, hedge, resend }) => retry + hedge + resend;
const totalOf = (entries) => entries.reduce((sum, entry) => sum + extrasOf(entry), 0);
const distinct = (entries, field) => [...new Set(entries.map((entry) => entry[field]))];

const worstWindow = (entries) => {
  const windows = entries.map(({ time: end }) =>
    entries.filter(({ time }) => time > end - windowMs && time <= end),
  );
  return windows.sort((left, right) => totalOf(right) - totalOf(left))[0];
};

const worst = [...uses]
  .map(([service, entries]) => ({ service, window: worstWindow(entries) }))
  .sort((left, right) => totalOf(right.window) - totalOf(left.window));
for (const { service, window } of worst.slice(0, MOST_SERVICES)) {
  const processes = distinct(window, 'process');
  const most = Math.max(
    ...processes.map((name) => totalOf(window.filter(({ process: each }) => each === name))),
  );
  console.log(
    [
      `${service}: ${totalOf(window)} extra`,
      ...['retry', 'hedge', 'resend', 'denied'].map((field) => `${field} ${sumOf(window, field)}`),
      `${distinct(window, 'node').length} gateways in ${processes.length} processes`,
      `most of one process ${most}`,
      `gateways assumed ${distinct(window, 'gateways').join('/')}`,
      `shares ${distinct(window, 'share')
        .map((share) => share.toFixed(3))
        .join('/')}`,
      `window ends ${new Date(window.at(-1).time).toISOString()}`,
    ].join(', '),
  );
}
