/**
 * Stand-in for the platform's list of live and leaving instances. A change becomes visible only
 * after the lag of the list.
 */
import { sendJson, startStandIn, type StandIn } from './http.js';

/** A running instance list. */
export interface InstanceList extends StandIn {
  /** Lists an instance as leaving after the lag. */
  setLeaving: (instance: string) => void;
}

/** Starts a list of live instances whose changes become visible after `lagMs`. */
export async function startInstanceList(
  port: number,
  live: readonly string[],
  lagMs: number,
): Promise<InstanceList> {
  /** Monotonic time from which each instance is listed as leaving. */
  const leaving = new Map<string, number>();

  function describeInstance(instance: string) {
    const leavingFrom = leaving.get(instance) ?? Infinity;
    return { instance, state: performance.now() >= leavingFrom ? 'leaving' : 'live' };
  }

  const standIn = await startStandIn(port, (request, response) => {
    const { searchParams } = new URL(request.url ?? '/', 'http://instances');
    const requestedInstance = searchParams.get('instance');
    const listedInstances = live.filter(
      (instance) => requestedInstance === null || instance === requestedInstance,
    );
    sendJson(response, 200, listedInstances.map(describeInstance));
  });
  const setLeaving = (instance: string) => {
    leaving.set(instance, performance.now() + lagMs);
  };
  return Object.assign(standIn, { setLeaving });
}
