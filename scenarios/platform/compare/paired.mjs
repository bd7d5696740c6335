/** Pairs the plays of two ways on the same site, day and seed, and summarizes their differences. */

/** Returns a key that is equal for plays which can be compared. */
const pairKey = ({ site, day, seed }) => JSON.stringify([site, day, seed]);

/** Returns the mean of the values, or undefined if there are none. */
export const meanOf = (values) =>
  values.length === 0 ? undefined : values.reduce((sum, value) => sum + value, 0) / values.length;

/**
 * Returns the sample standard deviation (with n - 1 in the denominator), or undefined for fewer than two values,
 * for which it does not exist.
 */
export const spreadOf = (values) => {
  const mean = meanOf(values);
  if (mean === undefined || values.length < 2) {
    return undefined;
  }
  const squares = values.map((value) => (value - mean) ** 2);
  return Math.sqrt(squares.reduce((sum, square) => sum + square, 0) / (values.length - 1));
};

/**
 * Pairs the plays of `way` with those of `base`. A play whose counterpart failed is in no pair.
 *
 * @param plays - `{ way, site, day, seed, figures }` of each play that gave a report
 */
export const pairPlays = (plays, base, way) => {
  const known = new Map(
    plays.filter((play) => play.way === base).map((play) => [pairKey(play), play]),
  );
  return plays
    .filter((play) => play.way === way)
    .flatMap((other) => {
      const play = known.get(pairKey(other));
      return play === undefined ? [] : [{ base: play, other }];
    });
};

/** Returns the mean and standard deviation of the differences `other` - `base` in one figure. */
export const summarize = (pairs, figure) => {
  const differences = pairs.map(({ base, other }) => other.figures[figure] - base.figures[figure]);
  return { pairs: pairs.length, mean: meanOf(differences), spread: spreadOf(differences) };
};

/** Groups pairs by site and day, in the order of their first play. */
export const groupByDay = (pairs) => {
  const groups = new Map();
  for (const pair of pairs) {
    const { site, day } = pair.base;
    const key = `${site} ${day}`;
    groups.set(key, [...(groups.get(key) ?? []), pair]);
  }
  return groups;
};
