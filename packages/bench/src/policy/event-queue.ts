/**
 * Event queue on virtual time. Events run in order of their due times; those due at the same time
 * run in the order in which they were scheduled, so that a run depends only on its seed.
 */

/** Clock and event queue of one simulated run. Times are in milliseconds. */
export interface EventQueue {
  now: () => number;
  /** Runs an action after a delay. */
  schedule: (delayMs: number, action: () => void) => void;
  /** Runs every event due by the given time, then sets the clock to it. */
  runUntil: (endMs: number) => void;
}

interface ScheduledEvent {
  dueAt: number;
  sequenceNumber: number;
  action: () => void;
}

/** Returns an empty queue at time 0. */
export function createEventQueue(): EventQueue {
  const heap: ScheduledEvent[] = [];
  let now = 0;
  let nextSequenceNumber = 0;

  function schedule(delayMs: number, action: () => void): void {
    const event = { dueAt: now + Math.max(0, delayMs), sequenceNumber: nextSequenceNumber, action };
    nextSequenceNumber += 1;
    let index = heap.length;
    heap.push(event);
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!isBefore(event, heap[parent]!)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = event;
  }

  function takeFirst(): ScheduledEvent {
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return first;
    let index = 0;
    for (;;) {
      let child = index * 2 + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) child += 1;
      if (!isBefore(heap[child]!, last)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
    return first;
  }

  return {
    now: () => now,
    schedule,
    runUntil(endMs) {
      while (heap.length > 0 && heap[0]!.dueAt <= endMs) {
        const { dueAt, action } = takeFirst();
        now = dueAt;
        action();
      }
      now = endMs;
    },
  };
}

function isBefore(left: ScheduledEvent, right: ScheduledEvent): boolean {
  return (
    left.dueAt < right.dueAt ||
    (left.dueAt === right.dueAt && left.sequenceNumber < right.sequenceNumber)
  );
}
