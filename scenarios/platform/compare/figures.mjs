/** Figures of one play, read from the report that `fleetbench run --report` writes. */

/** Compared figures, in the order of the table; `digits` is the number of decimal places. */
export const FIGURES = [
  { name: 'worth', digits: 4 },
  { name: 'credit', digits: 4 },
  { name: 'in aim', digits: 4 },
  { name: 'arrivals', digits: 0 },
  { name: 'again', digits: 0 },
  { name: 'connections', digits: 0 },
  { name: 'zone MB', digits: 2 },
  { name: 'store calls', digits: 0 },
];

const MEGABYTES_PER_GIGABYTE = 1_000;

/** Sums the amounts priced under the `wanted` names; throws if the report has none of them. */
const amountOf = ({ prices }, ...wanted) => {
  const amounts = prices.filter(([name]) => wanted.includes(name)).map(([, amount]) => amount);
  if (amounts.length === 0) {
    throw new Error(`the report has no price for ${wanted.join(' or ')}`);
  }
  return amounts.reduce((sum, amount) => sum + amount, 0);
};

/** Prices of traffic; a site with one region has none for bytes between regions. */
const BYTES_BETWEEN = ['GB between zones', 'GB between regions'];

/**
 * Returns the share of the whole day's credit that was earned, before prices. Worth also includes the share served,
 * in nines, in which a single request of a day without faults outweighs the differences to be compared.
 */
const wholeDayCredit = ({ parts }) => {
  const found = parts.find(([name]) => name === 'whole day');
  if (found === undefined) {
    throw new Error('the report has no part for the whole day');
  }
  return found[2];
};

/** Returns the share of requests answered within their objective, among those that were owed an answer. */
const shareInAim = ({ all }) => all.in_aim / (all.n - all.not_owed);

/**
 * Reads the figures of a report. `again` counts arrivals beyond the first like the report, which excludes the
 * shards of gathers; with the same callers, the difference in `arrivals` includes them.
 */
export const readFigures = (report) => {
  return {
    worth: report.G,
    credit: wholeDayCredit(report),
    'in aim': shareInAim(report),
    arrivals: report.arrivals,
    again: report.services.reduce((sum, { again }) => sum + again, 0),
    connections: amountOf(report, 'new connections to servers'),
    'zone MB': amountOf(report, ...BYTES_BETWEEN) * MEGABYTES_PER_GIGABYTE,
    'store calls': amountOf(report, 'cloud calls'),
  };
};

/**
 * Returns the reasons for which a day counts 0: broken rules and a fault. Such a play does not measure the worth of a
 * way, but shows that the way is not acceptable.
 */
export const readObjections = ({ breaks, fault }) => [
  ...Object.keys(breaks).map((rule) => `rule broken: ${rule}`),
  ...(fault === null ? [] : [`fault: ${fault}`]),
];
