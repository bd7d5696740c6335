/** Formats plays and the paired differences between ways as plain-text tables. */
import { FIGURES } from './figures.mjs';
import { groupByDay, pairPlays, summarize } from './paired.mjs';

const COLUMN_WIDTH = 18;
const LABEL_WIDTH = 64;

const formatRow = (label, cells) =>
  label.padEnd(LABEL_WIDTH) + cells.map((cell) => cell.padStart(COLUMN_WIDTH)).join('');

const formatNumber = (value, digits, signed = false) => {
  if (value === undefined) {
    return '-';
  }
  const sign = signed && value >= 0 ? '+' : '';
  return sign + value.toFixed(digits);
};

const header = formatRow(
  '',
  FIGURES.map(({ name }) => name),
);

const formatPlay = ({ way, site, day, seed, figures }) =>
  formatRow(
    `${site} ${day} seed ${seed} ${way}`,
    FIGURES.map(({ name, digits }) => formatNumber(figures[name], digits)),
  );

const formatSummary = (label, pairs) =>
  formatRow(
    `${label} (${pairs.length} pairs)`,
    FIGURES.map(({ name, digits }) => {
      const { mean, spread } = summarize(pairs, name);
      return `${formatNumber(mean, digits, true)} (${formatNumber(spread, digits)})`;
    }),
  );

const formatDifferences = (plays, base, way) => {
  const pairs = pairPlays(plays, base, way);
  const days = [...groupByDay(pairs)].map(([day, some]) => formatSummary(day, some));
  return [`${way} - ${base}: mean (standard deviation)`, ...days, formatSummary('all', pairs)];
};

/** Returns the lines of both tables; the other ways are compared with the first of `ways`. */
export const formatTables = (plays, ways) => {
  const [base, ...others] = ways;
  const order = ({ site, day, seed, way }) => `${site} ${day} ${seed} ${ways.indexOf(way)}`;
  const sorted = [...plays].sort((left, right) => order(left).localeCompare(order(right)));
  const differences = others.flatMap((way) => ['', ...formatDifferences(sorted, base, way)]);
  return [header, ...sorted.map(formatPlay), ...differences];
};
