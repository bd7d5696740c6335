/** Pairs the plays of two ways on the same site, day and seed, and sums up their differences. */

/** What two plays must have in common to be compared. */
const pairKey = ({ site, day, seed }) => JSON.stringify([site, day, seed]);

/** The mean of some values; undefined where there are none. */
export const meanOf = (values) =>
  values.length === 0 ? undefined : values.reduce((sum, value) => sum + value, 0) / values.length;

/**
 * The standard deviation of a sample (divided by one less than its size); undefined for fewer than two
 * values, which have no spread that could be told from chance.
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
 * Pairs plays of `way` with those of `base`. A play whose counterpart is missing, since it failed, is in no
 * pair.
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

/** Mean and spread of what `other` has more than `base`, in one figure over some pairs. */
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
