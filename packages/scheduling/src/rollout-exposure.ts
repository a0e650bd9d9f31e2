/**
 * Budget of one process for requests to a version that is being rolled out. The budgets of all
 * processes together stay within the exposure bound without communication: each process uses a
 * share of the requests that it counted itself, and a fixed part of the slack. Unused budget is
 * moved by subtracting it here before it is added elsewhere, so that a lost message only makes the
 * sum smaller.
 */

/**
 * Part of the share that trial requests use, and with those that are moved in the shift; the rest
 * covers requests that never arrive at a server.
 */
const USED_SHARE = 0.8;
const MOVED_SHARE = 0.9;
/**
 * Parts of the slack that all trials use, and that one process gets for the shift; the rest covers
 * processes that count their peers differently.
 */
const USED_SLACK = 0.5;
const POOL_SLACK = 0.35;
/** Largest part of the share that the trial leaves for the shift; the evidence needs the rest. */
const MAX_RESERVED_SHARE = 0.75;
/**
 * Part of the own requests that may go to the new version while slack is used up, apart from one.
 * With more, the old version has too few answers of the same moments for a comparison.
 */
const MAX_PART = 0.25;
/**
 * Budget below which routes with more than an even part of the exposed requests wait for the
 * others; otherwise a rare route would have too few answers for a verdict.
 */
const RESERVED = 2;
/** Routes that are counted apart; further ones count as one. */
const MAX_ROUTES = 64;
const OTHER_ROUTES = '';
/** Calls without a request after which the last whole request is lent as well. */
const IDLE_CALLS = 3;

/** Budget of one process for one order. */
export interface ExposureBudget {
  /** Records that a request of the service was sent to any server, the new version included. */
  recordRequest: (route?: string) => void;
  /**
   * Takes one request for the new version, before it is recorded as sent. One that continues a
   * stream of that version has no other place to go and waits for no other route.
   */
  tryTake: (route?: string, isContinuation?: boolean) => boolean;
  /**
   * Records a request that went to the new version without being taken, as the continuation of a
   * stream; further ones wait until the budget has grown by as much.
   */
  recordExposed: (route?: string) => void;
  /** Refunds a request that was taken and not sent. */
  refund: (route?: string) => void;
  /** Takes one request that is moved to the new version in the shift. */
  tryMove: (route?: string) => boolean;
  /** Sets the number of requests that the trial leaves for the shift. */
  setReserve: (amount: number) => void;
  /**
   * Returns the whole requests that others may use, already subtracted; call it once a second.
   * There are some only if no request was recorded since the previous call. One is kept for the
   * next request until none has come for several calls.
   */
  lend: () => number;
  /** Returns at most this number of requests, already subtracted; this many are kept. */
  lendUnneeded: (most: number, kept: number) => number;
  /** Adds what another process has lent. */
  borrow: (amount: number) => void;
  /** Adds requests that may be moved in the shift; the trial does not use them. */
  addMoves: (amount: number) => void;
  /** Returns the counts; `movable` is what may be moved in the shift. */
  count: () => { requests: number; exposed: number; unused: number; movable: number };
}

/** Share of all requests that the bound allows, and this process's part of its slack. */
export interface ExposureOptions {
  share: number;
  slackPart: number;
}

interface RouteCount {
  requests: number;
  exposed: number;
}

/**
 * Returns the part of the slack for a process that knows this number of entries, itself included.
 * A process that did not run before the order has none, since its predecessor may have used it.
 */
export function computeSlackPart(slack: number, entries: number, ranBeforeOrder: boolean): number {
  return ranBeforeOrder ? (slack * USED_SLACK) / Math.max(1, entries) : 0;
}

/** Returns the part of the slack for the one process that began the shift. */
export function computePool(slack: number): number {
  return Math.floor(slack * POOL_SLACK);
}

/** Returns the budget for a new order. */
export function createExposureBudget({ share, slackPart }: ExposureOptions): ExposureBudget {
  let requests = 0;
  let exposed = 0;
  let extra = slackPart;
  let moves = 0;
  let reserve = 0;
  const routes = new Map<string, RouteCount>();
  let requestsAtLend = 0;
  let idleCalls = 0;

  function computeUnused(): number {
    return requests * share * USED_SHARE + extra - exposed;
  }

  /** Returns what is left for the trial beside the reserve for the shift. */
  function computeTrialUnused(): number {
    return computeUnused() - Math.min(reserve, requests * share * MAX_RESERVED_SHARE);
  }

  function computeMovable(): number {
    return requests * share * MOVED_SHARE + extra + moves - exposed;
  }

  function removeUnused(amount: number): void {
    const fromMoves = Math.min(moves, amount);
    moves -= fromMoves;
    extra -= amount - fromMoves;
  }

  function getRoute(name: string): RouteCount {
    const key = routes.has(name) || routes.size < MAX_ROUTES ? name : OTHER_ROUTES;
    const route = routes.get(key) ?? { requests: 0, exposed: 0 };
    routes.set(key, route);
    return route;
  }

  function addExposed(route: RouteCount): void {
    exposed += 1;
    route.exposed += 1;
  }

  return {
    recordRequest(name = OTHER_ROUTES) {
      requests += 1;
      getRoute(name).requests += 1;
    },
    tryTake(name = OTHER_ROUTES, isContinuation = false) {
      const unused = computeTrialUnused();
      const route = getRoute(name);
      if (unused < 1) return false;
      const isBehind = unused >= RESERVED || route.exposed * routes.size <= exposed;
      if (!isContinuation && !(isPaced(route) && isBehind)) return false;
      addExposed(route);
      return true;
    },
    recordExposed: (name = OTHER_ROUTES) => addExposed(getRoute(name)),
    refund(name = OTHER_ROUTES) {
      exposed = Math.max(0, exposed - 1);
      const route = getRoute(name);
      route.exposed = Math.max(0, route.exposed - 1);
    },
    tryMove(name = OTHER_ROUTES) {
      if (computeMovable() < 1) return false;
      addExposed(getRoute(name));
      return true;
    },
    setReserve(amount) {
      reserve = amount;
    },
    lend() {
      idleCalls = requests === requestsAtLend ? idleCalls + 1 : 0;
      requestsAtLend = requests;
      const kept = idleCalls < IDLE_CALLS ? 1 : 0;
      const amount = idleCalls === 0 ? 0 : Math.max(0, Math.floor(computeUnused()) - kept);
      extra -= amount;
      return amount;
    },
    lendUnneeded(most, kept) {
      const amount = Math.max(0, Math.floor(Math.min(most, computeMovable() - kept)));
      removeUnused(amount);
      return amount;
    },
    addMoves(amount) {
      if (Number.isFinite(amount) && amount > 0) moves += Math.floor(amount);
    },
    borrow(amount) {
      if (Number.isFinite(amount) && amount > 0) extra += Math.floor(amount);
    },
    count: () => ({
      requests,
      exposed,
      unused: Math.max(0, computeUnused()),
      movable: Math.max(0, computeMovable()),
    }),
  };
}

/** Returns whether one more request of a route may go to the new version. */
function isPaced({ requests, exposed }: RouteCount): boolean {
  return exposed + 1 <= Math.max(Math.min(1, requests), MAX_PART * (requests + 1));
}
