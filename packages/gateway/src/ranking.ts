/** Order in which requests are served while slots are scarce, and how long late ones wait. */
import type { Features } from '@masticbend/platform/features';
import { mergeTiers, Standing } from '@masticbend/scheduling/rank';
import type { Access } from './request-state.js';

/** Longest waits of requests that are late in any case, as fractions of their time limit. */
const LATE_WAIT_FRACTION = 0.15;
/**
 * A first request that is late can return and is then served before other late ones, so that it
 * does not wait long; a returning one has its last chance.
 */
const FIRST_LATE_WAIT_FRACTION = 0.05;
const RETURNING_WAIT_FRACTION = 0.25;

/** Place of a request in the order of service. */
export interface Ranking {
  tier: number;
  /** Standing where its answer will be late. */
  lateStanding: Standing;
  /** Longest wait for a slot where its answer will be late, as a fraction of its time limit. */
  lateWaitFraction: number;
}

/** Ranks a request by its route and account, and by whether its caller returns after a refusal. */
export type RankRequest = (access: Access, isCallerRetry: boolean) => Ranking;

/** Returns the ranking that a deployment's features call for. */
export function chooseRanking({ rankedRoutes }: Pick<Features, 'rankedRoutes'>): RankRequest {
  return rankedRoutes ? rankByRouteAndReturn : rankByAccount;
}

/** An account's tier takes precedence over its route's. */
function rankByAccount({ route, account }: Access): Ranking {
  return {
    tier: account?.tier ?? route.tier,
    lateStanding: Standing.Late,
    lateWaitFraction: LATE_WAIT_FRACTION,
  };
}

/** The route orders requests of accounts of one tier; late callers that return go first. */
function rankByRouteAndReturn({ route, account }: Access, isCallerRetry: boolean): Ranking {
  return {
    tier: mergeTiers(account?.tier ?? route.tier, route.tier),
    lateStanding: isCallerRetry ? Standing.Returning : Standing.Late,
    lateWaitFraction: isCallerRetry ? RETURNING_WAIT_FRACTION : FIRST_LATE_WAIT_FRACTION,
  };
}
