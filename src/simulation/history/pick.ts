/** Selection of items by the indexes in actions. */

/**
 * Returns the item at `index` modulo the number of items.
 *
 * @throws Error if there are no items
 */
export const pick = <Item>(items: readonly Item[], index: number): Item => {
  const item = items[index % items.length];
  if (item === undefined) {
    throw new Error('cannot pick an item: the list is empty');
  }
  return item;
};
