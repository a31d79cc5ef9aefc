/** Groups items by a key; groups and items keep their order. */
export function groupBy<Item>(
  items: readonly Item[],
  keyOf: (item: Item) => string,
): Map<string, Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key) ?? [];
    groups.set(key, group);
    group.push(item);
  }
  return groups;
}
