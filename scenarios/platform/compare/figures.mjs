/** Figures of one play, read from the report that `fleetbench run --report` writes. */

/** What is compared, in the order of the table; `digits` are those after the point. */
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

/** The amounts that are priced under some names; a report with none of them is no report of this bench. */
const amountOf = ({ prices }, ...wanted) => {
  const amounts = prices.filter(([name]) => wanted.includes(name)).map(([, amount]) => amount);
  if (amounts.length === 0) {
    throw new Error(`the report has no price for ${wanted.join(' or ')}`);
  }
  return amounts.reduce((sum, amount) => sum + amount, 0);
};

/** A site with one region has no price for bytes between regions. */
const BYTES_BETWEEN = ['GB between zones', 'GB between regions'];

/**
 * The share of the whole day's credit that was earned, before prices. Worth also counts the share served in nines,
 * in which a single request of a calm day weighs more than all that is compared.
 */
const wholeDayCredit = ({ parts }) => {
  const found = parts.find(([name]) => name === 'whole day');
  if (found === undefined) {
    throw new Error('the report has no part for the whole day');
  }
  return found[2];
};

/** Requests answered within their objective, of those that were owed an answer. */
const shareInAim = ({ all }) => all.in_aim / (all.n - all.not_owed);

/**
 * Reads the figures of a report. `again` counts arrivals beyond the first as the report does, which leaves
 * out the shards of gathers; with the same callers, the difference of all arrivals shows those too.
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
 * What makes a day count 0: a fault, and rules that were broken. Such a play says nothing of how much a way is
 * worth, only that it may not stand.
 */
export const readObjections = ({ breaks, fault }) => [
  ...Object.keys(breaks).map((rule) => `rule broken: ${rule}`),
  ...(fault === null ? [] : [`fault: ${fault}`]),
];
