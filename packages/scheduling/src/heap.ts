/**
 * Binary heap with an index of item positions, so that any item can be removed or updated in
 * logarithmic time.
 */

/** Items ordered by a comparison function, the least first. */
export interface Heap<Item> {
  size: () => number;
  add: (item: Item) => void;
  /** Returns the least item without removing it. */
  getFirst: () => Item | undefined;
  /** Removes an item; false when it is not in the heap. */
  remove: (item: Item) => boolean;
  /** Restores the order after an item's key has changed. */
  update: (item: Item) => void;
}

/** Returns an empty heap; `compare` is negative when the left item comes first. */
export function createHeap<Item>(compare: (left: Item, right: Item) => number): Heap<Item> {
  const items: Item[] = [];
  const positions = new Map<Item, number>();

  function setItem(index: number, item: Item): void {
    items[index] = item;
    positions.set(item, index);
  }

  function moveUp(start: number): void {
    let index = start;
    const item = items[index]!;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (compare(item, items[parent]!) >= 0) break;
      setItem(index, items[parent]!);
      index = parent;
    }
    setItem(index, item);
  }

  function moveDown(start: number): void {
    let index = start;
    const item = items[index]!;
    for (;;) {
      let child = index * 2 + 1;
      if (child >= items.length) break;
      if (child + 1 < items.length && compare(items[child + 1]!, items[child]!) < 0) child += 1;
      if (compare(items[child]!, item) >= 0) break;
      setItem(index, items[child]!);
      index = child;
    }
    setItem(index, item);
  }

  function update(item: Item): void {
    const index = positions.get(item);
    if (index === undefined) return;
    moveUp(index);
    moveDown(positions.get(item)!);
  }

  return {
    size: () => items.length,
    add(item) {
      items.push(item);
      positions.set(item, items.length - 1);
      moveUp(items.length - 1);
    },
    getFirst: () => items[0],
    remove(item) {
      const index = positions.get(item);
      if (index === undefined) return false;
      positions.delete(item);
      const last = items.pop()!;
      if (last === item) return true;
      setItem(index, last);
      update(last);
      return true;
    },
    update,
  };
}
