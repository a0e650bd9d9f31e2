/**
 * Baseline policies for comparison: the entry sends each request at once to one engine, which
 * serves requests in order of arrival. There is no load shedding; a caller cancels its request at
 * the deadline.
 */
import { LOAD_REPORT_INTERVAL_MS, type Policy, type PolicyContext } from './policy.js';
import type { Arrival } from './workload.js';

/** Chooses one of the running servers by the loads last reported to the entry. */
export type ChooseServer = (
  alive: number[],
  loads: readonly number[],
  random: () => number,
) => number;

/** Chooses the server with the lowest reported load. */
export function chooseLeastLoad(alive: number[], loads: readonly number[]): number {
  return alive.reduce((best, server) => (loads[server]! < loads[best]! ? server : best));
}

/** Draws two servers at random and chooses the one with the lower reported load. */
export function chooseByTwoChoices(
  alive: number[],
  loads: readonly number[],
  random: () => number,
): number {
  const first = alive[Math.floor(random() * alive.length)]!;
  const second = alive[Math.floor(random() * alive.length)]!;
  return loads[second]! < loads[first]! ? second : first;
}

/** Returns a policy that sends each request to the server chosen by `chooseServer`. */
export function createPushPolicy(context: PolicyContext, chooseServer: ChooseServer): Policy {
  const { events, deployment, engines, random, linkDelayMs, reportLagMs } = context;
  const servers = engines.map((_, index) => index);
  const alive = new Set(servers);
  const loads = Array.from({ length: deployment.entries }, () => servers.map(() => 0));
  const inFlight = new Map<string, { arrival: Arrival; server: number }>();

  function reportLoads(): void {
    for (const server of servers) {
      const { running, waiting } = engines[server]!.getLoad();
      for (let entry = 0; entry < deployment.entries; entry += 1) {
        events.schedule(linkDelayMs(entry, server) + reportLagMs, () => {
          loads[entry]![server] = running + waiting;
        });
      }
    }
    events.schedule(LOAD_REPORT_INTERVAL_MS, reportLoads);
  }

  function startCall(arrival: Arrival, server: number): void {
    if (!inFlight.has(arrival.id)) return;
    if (!alive.has(server)) {
      fail(arrival);
      return;
    }
    engines[server]!.submit({
      ...arrival,
      onFirstByte: () => undefined,
      onFinish(cachedTokens, computedTokens) {
        events.schedule(linkDelayMs(arrival.entry, server), () => {
          if (inFlight.delete(arrival.id)) context.onAnswer(arrival, computedTokens);
        });
      },
    });
  }

  function fail(arrival: Arrival): void {
    if (inFlight.delete(arrival.id)) context.onRefusal(arrival);
  }

  function handleDeadline(arrival: Arrival): void {
    const state = inFlight.get(arrival.id);
    if (!state) return;
    fail(arrival);
    events.schedule(linkDelayMs(arrival.entry, state.server), () =>
      engines[state.server]!.cancel(arrival.id),
    );
  }

  reportLoads();
  return {
    offer(arrival) {
      const server = chooseServer([...alive], loads[arrival.entry]!, random);
      inFlight.set(arrival.id, { arrival, server });
      events.schedule(linkDelayMs(arrival.entry, server), () => startCall(arrival, server));
      events.schedule(arrival.workClass.deadlineMs, () => handleDeadline(arrival));
    },
    kill(server) {
      alive.delete(server);
      engines[server]!.kill();
      for (const state of [...inFlight.values()]) if (state.server === server) fail(state.arrival);
    },
    restart: (server) => alive.add(server),
  };
}
