/** Describes why a request was refused early: where its rank gets no slots. */
import type { ClosedRank } from '@masticbend/scheduling/rank-admission';
import type { ServerEntry } from '@masticbend/scheduling/server-entry';
import type { RequestState } from './request-state.js';
import { chooseRank } from './request-timing.js';

/** Agents that refuse requests of a rank. */
export interface ClosedAgents {
  /** Highest rank closed at one of them. */
  rank: number;
  count: number;
  /** Requests of that rank that got slots there in the last second or so. */
  placed: number;
}

/** Returns the agents of a request's service at which its rank is closed; undefined without any. */
export function findClosedAgents(
  state: RequestState,
  servers: readonly ServerEntry[],
  findClosedRank: (server: string) => ClosedRank | undefined,
): ClosedAgents | undefined {
  const ownRank = chooseRank(state, !state.isCallerRetry);
  const closed = servers
    .filter(({ server }) => server.service === state.service)
    .map(({ server }) => findClosedRank(server.id))
    .filter((each) => each !== undefined && each.rank <= ownRank) as ClosedRank[];
  if (closed.length === 0) return undefined;
  const rank = Math.min(...closed.map((each) => each.rank));
  const placed = closed
    .filter((each) => each.rank === rank)
    .reduce((sum, each) => sum + each.placed, 0);
  return { rank, count: closed.length, placed };
}
