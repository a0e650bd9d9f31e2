/**
 * Limits how often requests are repeated on another backend server. The bound holds across all
 * instances and their restarts: each one applies the ratio to its own requests and takes an equal
 * share of the slack, so that no instance needs the counts of the others.
 *
 * What an instance may spend is earned by its requests and by time, and a part of the bound can be
 * saved. A process knows nothing of the repeats before its start, neither of its own earlier ones
 * nor of those of instances whose share it takes. It presumes that they spent all they could: it
 * starts without savings and earns less until its first window has passed. There were none only
 * where the deployment itself starts for the first time.
 */

/** Fraction of the bound that an instance may use in a window, and earns in it. */
const USED_FRACTION = 0.8;
/** Fraction of the bound that can be saved, and so be spent at once. */
const SAVED_FRACTION = 0.5;
/**
 * Fraction of the bound that is earned in the first window of a process. With the fractions above,
 * the repeats before and after a restart stay within one bound, whenever they are sent.
 */
const START_FRACTION = 0.3;
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

/** Budget of one instance. Times are monotonic, in milliseconds. */
export interface RepeatBudget {
  recordRequest: (now: number, service: string) => void;
  /**
   * Sets the number of instances that share the slack, this one included; undefined while others
   * may use this one's share, or are not known. To be called several times in a window.
   */
  setInstances: (now: number, instances: number | undefined) => void;
  /** Takes one repeat; false when the budget is spent. */
  tryTake: (now: number, service: string) => boolean;
  /** Returns a repeat that was taken at `takenAt` and not sent. */
  refund: (takenAt: number, service: string) => void;
  dump: () => unknown;
}

interface Interval {
  index: number;
  requests: number;
  repeats: number;
}

interface ServiceBudget {
  intervals: Interval[];
  /** Repeats that were earned and not spent. */
  saved: number;
  earnedAt: number;
}

/** Returns the budget of a process that starts at `startedAt`, `isFirst` with the deployment. */
export function createRepeatBudget(
  bound: RepeatBound,
  startedAt: number,
  isFirst = false,
): RepeatBudget {
  const intervalMs = bound.windowMs / WINDOW_INTERVALS;
  const firstWindowEndsAt = isFirst ? startedAt : startedAt + bound.windowMs;
  const firstSaved = isFirst ? Infinity : 0;
  const services = new Map<string, ServiceBudget>();
  /** Largest numbers of instances in the intervals of the last window. */
  const instanceCounts = new Map<number, number>();
  /**
   * This instance's share of the slack. It shrinks at once and grows after a window, in which the
   * repeats of the instances that are gone still count.
   */
  let slack = 0;

  function getIndex(now: number): number {
    return Math.floor(now / intervalMs);
  }

  /** Returns the bound of this instance for the requests of a window. */
  function computeBound({ intervals }: ServiceBudget, index: number): number {
    const recent = intervals.filter((interval) => interval.index > index - WINDOW_INTERVALS);
    const requests = recent.reduce((sum, each) => sum + each.requests, 0);
    return bound.ratio * requests + slack;
  }

  /** A share below one repeat is saved up to a whole one. */
  function addSaved(budget: ServiceBudget, index: number, repeats: number): void {
    const most = Math.max(1, SAVED_FRACTION * computeBound(budget, index));
    budget.saved = Math.min(most, budget.saved + repeats);
  }

  /** Returns the fraction of the slack's share that is earned between two moments. */
  function computeEarned(from: number, to: number): number {
    const firstMs = Math.max(0, Math.min(to, firstWindowEndsAt) - from);
    const laterMs = Math.max(0, to - Math.max(from, firstWindowEndsAt));
    return (firstMs * START_FRACTION + laterMs * USED_FRACTION) / bound.windowMs;
  }

  /** Returns the budget of a service with what was earned until now. */
  function findBudget(now: number, service: string): ServiceBudget {
    const budget = services.get(service) ?? {
      intervals: [],
      saved: firstSaved,
      earnedAt: startedAt,
    };
    services.set(service, budget);
    const index = getIndex(now);
    budget.intervals = budget.intervals.filter((each) => each.index >= index - WINDOW_INTERVALS);
    addSaved(budget, index, computeEarned(budget.earnedAt, now) * slack);
    budget.earnedAt = Math.max(now, budget.earnedAt);
    return budget;
  }

  function findInterval(now: number, { intervals }: ServiceBudget): Interval {
    const index = getIndex(now);
    const last = intervals.at(-1);
    if (last?.index === index) return last;
    const interval = { index, requests: 0, repeats: 0 };
    intervals.push(interval);
    return interval;
  }

  return {
    recordRequest(now, service) {
      const budget = findBudget(now, service);
      findInterval(now, budget).requests += 1;
      const fraction = now < firstWindowEndsAt ? START_FRACTION : USED_FRACTION;
      addSaved(budget, getIndex(now), fraction * bound.ratio);
    },
    setInstances(now, instances) {
      const index = getIndex(now);
      for (const each of instanceCounts.keys()) {
        if (each < index - WINDOW_INTERVALS) instanceCounts.delete(each);
      }
      if (instances !== undefined) {
        instanceCounts.set(index, Math.max(instances, instanceCounts.get(index) ?? 1));
      }
      const nextSlack =
        instances === undefined ? 0 : bound.slack / Math.max(...instanceCounts.values());
      if (nextSlack === slack) return;
      // What was earned until now belongs to the former share.
      for (const service of services.keys()) findBudget(now, service);
      slack = nextSlack;
    },
    tryTake(now, service) {
      const budget = findBudget(now, service);
      const repeats = budget.intervals.reduce((sum, each) => sum + each.repeats, 0);
      const allowed = computeBound(budget, getIndex(now)) * USED_FRACTION;
      if (budget.saved < 1 || repeats + 1 > allowed) return false;
      budget.saved -= 1;
      findInterval(now, budget).repeats += 1;
      return true;
    },
    refund(takenAt, service) {
      const budget = services.get(service);
      const index = getIndex(takenAt);
      const taken = budget?.intervals.find((interval) => interval.index === index);
      if (!budget || !taken) return;
      taken.repeats -= 1;
      addSaved(budget, budget.intervals.at(-1)!.index, 1);
    },
    dump: () => ({
      slack,
      services: Object.fromEntries(
        [...services].map(([name, { saved, intervals }]) => [
          name,
          { saved, repeats: intervals.reduce((sum, { repeats }) => sum + repeats, 0) },
        ]),
      ),
    }),
  };
}
