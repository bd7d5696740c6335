/** Picks by the numbers that actions carry. */

/** The item of a number; numbers beyond the last item begin again at the first. */
export const pick = <Item>(items: readonly Item[], index: number): Item => {
  const item = items[index % items.length];
  if (item === undefined) {
    throw new Error('there is nothing to pick from');
  }
  return item;
};
