/**
 * Limits how often requests are repeated on another backend server. The bound holds across all
 * instances: each one applies the ratio to its own requests and takes an equal share of the slack,
 * so that no instance needs the counts of the others.
 */

/**
 * Fraction of the bound that is used; the rest covers the offset between windows being compared.
 */
const USED_FRACTION = 0.8;
/** Counting intervals in a window. */
const WINDOW_INTERVALS = 10;

/** Bound for each service, across all instances. */
export interface RepeatBound {
  /** Repeats allowed per request. */
  ratio: number;
  /** Repeats allowed in a window in addition to the ratio. */
  slack: number;
  windowMs: number;
}

/** Budget of one instance. */
export interface RepeatBudget {
  recordRequest: (now: number, service: string) => void;
  /** Takes one repeat; false when the budget is spent. The slack is divided by `instances`. */
  tryTake: (now: number, service: string, instances: number) => boolean;
  /** Returns a repeat that was taken at `takenAt` and not sent. */
  refund: (takenAt: number, service: string) => void;
}

interface Interval {
  index: number;
  requests: number;
  repeats: number;
}

/** Returns an unused budget. */
export function createRepeatBudget(bound: RepeatBound): RepeatBudget {
  const intervalMs = bound.windowMs / WINDOW_INTERVALS;
  const services = new Map<string, Interval[]>();

  function findInterval(
    now: number,
    service: string,
  ): { interval: Interval; intervals: Interval[] } {
    const index = Math.floor(now / intervalMs);
    const recent = (services.get(service) ?? []).filter(
      (interval) => interval.index > index - WINDOW_INTERVALS - 1,
    );
    let interval = recent.at(-1);
    if (interval?.index !== index) {
      interval = { index, requests: 0, repeats: 0 };
      recent.push(interval);
    }
    services.set(service, recent);
    return { interval, intervals: recent };
  }

  return {
    recordRequest(now, service) {
      findInterval(now, service).interval.requests += 1;
    },
    tryTake(now, service, instances) {
      const { interval, intervals } = findInterval(now, service);
      const requests = intervals.reduce((sum, each) => sum + each.requests, 0);
      const repeats = intervals.reduce((sum, each) => sum + each.repeats, 0);
      const allowed = bound.ratio * requests + bound.slack / Math.max(1, instances);
      if (repeats + 1 > allowed * USED_FRACTION) return false;
      interval.repeats += 1;
      return true;
    },
    refund(takenAt, service) {
      const index = Math.floor(takenAt / intervalMs);
      const taken = services.get(service)?.find((interval) => interval.index === index);
      if (taken) taken.repeats -= 1;
    },
  };
}
