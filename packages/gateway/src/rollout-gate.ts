/**
 * Rollouts as the request handling of an entry uses them: which versions a request may go to, and
 * the counts of its attempts. Services without an order cost one look-up for each request.
 */
import type { Clock } from '@masticbend/kernel/clock';
import { Metric, type Metrics } from '@masticbend/kernel/metrics';
import { ServerState, type BackendServer } from '@masticbend/settings/routing';
import type { AttemptResult } from './attempt-result.js';
import type { RequestState } from './request-state.js';
import { RolloutStage } from './rollout-row.js';
import type { AttemptEnd, RolloutTracker, TrackedAttempt } from './rollout-tracker.js';

/**
 * Time without a listed server after which a version that was rolled back is forgotten. It is
 * longer than the age of the list at any entry that still admits requests.
 */
const GONE_MS = 6_000;
/** Prompt tokens that take about as long as one event of an answer. */
const PROMPT_TOKENS_PER_EVENT = 500;

/** What an entry knows of the rollouts of one service. */
export interface ServiceRollout {
  service: string;
  /** The last order; undefined where there was none since the versions were excluded. */
  tracker?: RolloutTracker;
  /** Versions that were rolled back: no request goes to them. */
  excluded: Set<string>;
}

type RolloutRequest = Pick<
  RequestState,
  | 'service'
  | 'route'
  | 'origin'
  | 'trial'
  | 'isMoved'
  | 'isTrialRefused'
  | 'sentCount'
  | 'work'
  | 'incoming'
>;

/** Rollouts, as requests are placed and sent. */
export interface RequestRollouts {
  isVersionAccepted: (state: RolloutRequest, version: string) => boolean;
  /**
   * Returns whether a request belongs to a trial, or moves in the shift. Where it does not yet,
   * takes a part of the exposure budget for it if there is one.
   */
  tryTakeTrial: (state: RolloutRequest) => boolean;
  /** Refunds what a request took and did not use. */
  returnTrial: (state: RolloutRequest) => void;
  /** Returns the stage of the order for a version; undefined for any other version. */
  getStage: (service: string, version: string) => string | undefined;
  startAttempt: (state: RequestState, server: BackendServer) => TrackedAttempt | undefined;
  recordSent: (attempt: TrackedAttempt) => void;
  recordResult: (attempt: TrackedAttempt, result: AttemptResult) => void;
  recordSilent: (attempt: TrackedAttempt) => void;
  /** The entry ended the attempt. */
  recordStopped: (attempt: TrackedAttempt) => void;
}

/** State of all services of one entry. */
export interface RolloutGate {
  requests: RequestRollouts;
  services: Map<string, ServiceRollout>;
  getService: (service: string) => ServiceRollout;
  setListed: (servers: readonly BackendServer[]) => void;
  /** Returns whether a version has servers that are ready. */
  hasServers: (service: string, version: string) => boolean;
  /** Forgets versions that were rolled back and have had no server for a while. */
  dropGone: () => void;
}

/** Dependencies. */
export interface RolloutGateOptions {
  clock: Clock;
  metrics: Pick<Metrics, 'addCount'>;
  /** Returns the time since the last read of the orders was sent; undefined before the first. */
  getOrdersAgeMs: () => number | undefined;
}

/** Returns the state of an entry that knows of no order. */
export function createRolloutGate(options: RolloutGateOptions): RolloutGate {
  const { clock, metrics, getOrdersAgeMs } = options;
  const services = new Map<string, ServiceRollout>();
  /** Whether versions have ready servers, by service; only for those that are listed. */
  let listed = new Map<string, Map<string, boolean>>();
  /** When the servers of a version were listed last. */
  const lastListedAt = new Map<string, number>();
  /** Versions that appeared beside others, and when; they may have an order not read yet. */
  const held = new Map<string, Map<string, number>>();

  function getService(service: string): ServiceRollout {
    const known = services.get(service) ?? { service, excluded: new Set() };
    services.set(service, known);
    return known;
  }

  /** Returns whether the orders have not been read since a version appeared. */
  function isHeld(service: string, version: string): boolean {
    const seenAt = held.get(service)?.get(version);
    if (seenAt === undefined) return false;
    const isRead = (getOrdersAgeMs() ?? Infinity) < clock.now() - seenAt;
    if (isRead) removeHeld(service, version);
    return !isRead;
  }

  function removeHeld(service: string, version: string): void {
    const versions = held.get(service);
    versions?.delete(version);
    if (versions?.size === 0) held.delete(service);
  }

  function hasServers(service: string, version: string): boolean {
    return listed.get(service)?.get(version) ?? false;
  }

  function hasOthers({ service, excluded }: ServiceRollout, to: string): boolean {
    const versions = listed.get(service);
    if (!versions) return false;
    for (const version of versions.keys()) {
      if (version !== to && !excluded.has(version)) return true;
    }
    return false;
  }

  function findTrial({ service }: RolloutRequest): RolloutTracker | undefined {
    const tracker = services.get(service)?.tracker;
    const { stage, isBad, isClosed } = tracker ?? {};
    const isOpen = stage === RolloutStage.Trial || (stage === RolloutStage.Shift && !isClosed);
    return isOpen && !isBad ? tracker : undefined;
  }

  function returnTrial(state: RolloutRequest): void {
    state.trial?.returnTaken(state.route.name);
    state.trial = undefined;
    state.isMoved = false;
  }

  /** Repeats go to the old version, unless they continue a stream of the new one. */
  function isForTrial({ origin, sentCount, isTrialRefused }: RolloutRequest, to: string): boolean {
    if (origin) return origin.softwareVersion === to;
    return sentCount === 0 && !isTrialRefused;
  }

  function recordEnd(attempt: TrackedAttempt, end: AttemptEnd): void {
    if (!attempt.tracker.recordEnd(attempt, end, clock.now())) return;
    const { service } = attempt.tracker.order;
    metrics.addCount(Metric.RolloutBad, { service, version: attempt.version }, 1);
  }

  const requests: RequestRollouts = {
    isVersionAccepted(state, version) {
      const { service } = state;
      if (held.size > 0 && isHeld(service, version)) return false;
      const rollout = services.get(service);
      if (!rollout) return true;
      if (rollout.excluded.has(version)) return false;
      const { tracker } = rollout;
      if (!tracker) return true;
      return tracker.isVersionAccepted(state, version, {
        hasNew: hasServers(service, tracker.order.to),
        hasOthers: hasOthers(rollout, tracker.order.to),
      });
    },
    tryTakeTrial(state) {
      const tracker = findTrial(state);
      if (state.trial && state.trial !== tracker) returnTrial(state);
      if (!tracker || state.trial) return state.trial !== undefined;
      const { to } = tracker.order;
      if (!hasServers(state.service, to)) return false;
      const { origin, route } = state;
      const canMove = !origin || origin.softwareVersion === to;
      if (canMove && tracker.tryMove(route.name, computeSize(state), clock.now())) {
        state.isMoved = true;
      } else if (!isForTrial(state, to) || !tracker.tryTake(route.name, origin !== undefined)) {
        return false;
      }
      state.trial = tracker;
      return true;
    },
    returnTrial,
    getStage(service, version) {
      const tracker = services.get(service)?.tracker;
      return tracker?.order.to === version ? tracker.stage : undefined;
    },
    startAttempt(state, server) {
      const { service, route } = state;
      const tracker = services.get(service)?.tracker;
      const isTrial = state.trial !== undefined && state.trial === tracker;
      state.trial = undefined;
      state.isMoved = false;
      return tracker?.startAttempt({
        route: route.name,
        version: server.softwareVersion,
        server: server.id,
        size: computeSize(state),
        isTrial,
      });
    },
    recordSent(attempt) {
      const { tracker, version } = attempt;
      const { service, to } = tracker.order;
      tracker.recordSent(attempt, clock.now());
      metrics.addCount(Metric.RolloutRequests, { service }, 1);
      if (version === to) metrics.addCount(Metric.RolloutExposed, { service }, 1);
    },
    recordResult(attempt, result) {
      if (result.kind === 'unsent' || result.kind === 'unsendable') {
        attempt.tracker.recordUnsent(attempt);
      } else if (result.kind !== 'not-run') {
        recordEnd(attempt, classifyEnd(result));
      }
    },
    recordSilent: (attempt) => recordEnd(attempt, 'failed'),
    recordStopped(attempt) {
      if (attempt.sentAt === undefined) attempt.tracker.recordUnsent(attempt);
      else recordEnd(attempt, 'stopped');
    },
  };

  return {
    requests,
    services,
    getService,
    hasServers,
    setListed(servers) {
      const now = clock.now();
      const previous = listed;
      listed = new Map();
      for (const { service, softwareVersion, state } of servers) {
        const versions = listed.get(service) ?? new Map<string, boolean>();
        listed.set(service, versions);
        const isReady = state === ServerState.Ready || versions.get(softwareVersion) === true;
        versions.set(softwareVersion, isReady);
        lastListedAt.set(formatVersion(service, softwareVersion), now);
        const known = previous.get(service);
        if (known && !known.has(softwareVersion)) {
          const heldVersions = held.get(service) ?? new Map<string, number>();
          held.set(service, heldVersions);
          if (!heldVersions.has(softwareVersion)) heldVersions.set(softwareVersion, now);
        }
      }
    },
    dropGone() {
      const now = clock.now();
      for (const [key, at] of lastListedAt) {
        const [service, version] = parseVersion(key);
        const isListed = listed.get(service)?.has(version) ?? false;
        if (isListed) lastListedAt.set(key, now);
        else if (now - at >= GONE_MS) {
          lastListedAt.delete(key);
          services.get(service)?.excluded.delete(version);
          removeHeld(service, version);
        }
      }
    },
  };
}

/** Returns the size of a request by which the times of answers are compared. */
function computeSize({ route, work, incoming }: RolloutRequest): number {
  if (!route.streamed) return incoming.body.length;
  return work.events + work.promptTokens / PROMPT_TOKENS_PER_EVENT;
}

function classifyEnd(result: AttemptResult): AttemptEnd {
  if (result.kind === 'broken') return result.isConnectionLost ? 'lost' : 'failed';
  return 'status' in result && result.status >= 500 ? 'failed' : 'good';
}

function formatVersion(service: string, version: string): string {
  return JSON.stringify([service, version]);
}

function parseVersion(key: string): [string, string] {
  return JSON.parse(key) as [string, string];
}
