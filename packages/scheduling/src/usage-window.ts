/**
 * Units used in a sliding window, counted in slots of equal length. A slot counts until all of it
 * has left the window, so the sum is never too low.
 */

/** Slots that cover one window. */
const SLOTS_PER_WINDOW = 32;
/** Newest slots from which the recent rate is computed. */
const RECENT_SLOTS = 4;

/** Usage of one account. Times are monotonic, in milliseconds. */
export interface UsageWindow {
  add: (now: number, units: number) => void;
  /** Takes back units, the newest first; never more than are in the window. */
  remove: (now: number, units: number) => void;
  /** Multiplies all units in the window. */
  scale: (factor: number) => void;
  /** Returns the time until at most `units` are left in the window; 0 where that holds now. */
  findTimeUntil: (now: number, units: number) => number;
  /** Units a millisecond in the newest slots. */
  getRecentRate: (now: number) => number;
}

/** Longest time for which a window counts units: its length and the slot in progress. */
export function computeCountedMs(windowMs: number): number {
  return (windowMs * (SLOTS_PER_WINDOW + 1)) / SLOTS_PER_WINDOW;
}

/** Returns a window without usage. */
export function createUsageWindow(windowMs: number): UsageWindow {
  const slotMs = windowMs / SLOTS_PER_WINDOW;
  /** The slot in progress and those that overlap the window. */
  const slots = new Float64Array(SLOTS_PER_WINDOW + 1);
  let newestSlot = 0;

  /** Clears the slots that have left the window; returns the newest slot's number. */
  function dropPassed(now: number): number {
    const slot = Math.max(newestSlot, Math.floor(now / slotMs));
    const passed = Math.min(slots.length, slot - newestSlot);
    for (let offset = 0; offset < passed; offset += 1) slots[(slot - offset) % slots.length] = 0;
    newestSlot = slot;
    return slot;
  }

  function getUnits(slot: number): number {
    return slot < 0 ? 0 : slots[slot % slots.length]!;
  }

  return {
    add(now, units) {
      slots[dropPassed(now) % slots.length]! += units;
    },
    remove(now, units) {
      const newest = dropPassed(now);
      let left = units;
      for (let offset = 0; offset < slots.length && left > 0; offset += 1) {
        const taken = Math.min(left, getUnits(newest - offset));
        if (taken > 0) slots[(newest - offset) % slots.length]! -= taken;
        left -= taken;
      }
    },
    scale(factor) {
      slots.forEach((units, index) => {
        slots[index] = units * factor;
      });
    },
    findTimeUntil(now, units) {
      const newest = dropPassed(now);
      let excess = slots.reduce((sum, each) => sum + each, 0) - units;
      if (excess <= 0) return 0;
      for (let slot = newest - SLOTS_PER_WINDOW; slot <= newest; slot += 1) {
        excess -= getUnits(slot);
        if (excess <= 0) return (slot + 1) * slotMs + windowMs - now;
      }
      return windowMs;
    },
    getRecentRate(now) {
      const newest = dropPassed(now);
      let units = 0;
      for (let offset = 0; offset < RECENT_SLOTS; offset += 1) units += getUnits(newest - offset);
      return units / (RECENT_SLOTS * slotMs);
    },
  };
}
