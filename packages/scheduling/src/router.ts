/**
 * Routing decisions of one entry: which agents may receive a request, in which order they are
 * tried, and which are ejected for a time.
 */
import type { WorkDescription } from '@masticbend/protocol/call-message';
import type { LoadReport } from '@masticbend/protocol/message';
import { computeRendezvousWeight, computePrefixKey, hashText } from './affinity.js';
import { createEjection } from './ejection.js';
import { PREFIX_BLOCK_TOKENS } from './prefix-cache.js';

/** Minimum number of agents tried in the first round, and maximum number in each later round. */
export const MIN_INITIAL_CANDIDATES = 2;
const NEXT_ROUND_CANDIDATES = 4;
/** Maximum number of agents tried in the first round when each is expected to finish early. */
const MAX_INITIAL_CANDIDATES = 4;
/** Fraction of the deadline within which an agent counts as finishing early. */
const EARLY_FINISH_FRACTION = 0.5;
/** Unsuccessful tries after which only agents that are likely to accept are tried. */
const MAX_UNFILTERED_TRIES = 8;
/** Number of agents to which a prefix has affinity. */
const AFFINITY_AGENTS = 2;
/** Fraction of a request's cost expected to stay with each agent tried; added to its waits. */
const RESERVED_FRACTION = 0.5;
/** Ejections are ignored when a smaller fraction of the available agents would remain. */
const MIN_HEALTHY_FRACTION = 0.5;
/** Relative jitter of finish times, so that entries do not all choose the same agent at once. */
const FINISH_JITTER = 0.05;

/** Outcome of a request at an agent. */
export const AgentOutcome = {
  Completed: 'whole',
  Refused: 'refused',
  Failed: 'failed',
  NoResponse: 'silent',
} as const;
export type AgentOutcome = (typeof AgentOutcome)[keyof typeof AgentOutcome];

/** Load and health of the agents to which one entry is connected. */
export interface Router {
  /** Stores a new load report of an agent. */
  updateAgent: (now: number, agent: string, load: LoadReport) => void;
  removeAgent: (agent: string) => void;
  /**
   * Corrects an agent's waits by the start delay that it reported for a queued request of a tier.
   */
  recordQueued: (now: number, agent: string, tier: number, startDelayMs: number) => void;
  /**
   * Returns the agents to try next, best first, without those already tried. The list is empty when
   * no agent is left that could take the work.
   */
  chooseCandidates: (now: number, work: WorkDescription, tried: ReadonlySet<string>) => string[];
  /** Whether any available agent serves the model or service. */
  canServe: (target: string) => boolean;
  /** Records the outcome of a request, for ejection. */
  recordOutcome: (now: number, agent: string, outcome: AgentOutcome, totalMs?: number) => void;
  /** Returns the load report and estimated waits of each agent, for the state dump. */
  dump: () => unknown;
}

interface Agent {
  name: string;
  hash: number;
  load: LoadReport;
  /**
   * Time until a new request of each tier would start, in milliseconds: reported, then corrected.
   */
  waitMs: number[];
}

interface Candidate {
  agent: Agent;
  /** Expected time to the complete answer, in milliseconds. */
  finishMs: number;
  /** Time to the complete answer at the high quantile of its length, in milliseconds. */
  highFinishMs: number;
  /** Time of the agent's backend server that the request would use, in milliseconds. */
  costMs: number;
}

/** Returns a router without agents; `drawRandom` returns numbers in [0, 1). */
export function createRouter(drawRandom: () => number): Router {
  const agents = new Map<string, Agent>();
  const ejection = createEjection();

  function listHealthy(now: number, work: WorkDescription): Agent[] {
    const available = [...agents.values()].filter(({ load }) => isAvailable(load, work.target));
    const healthy = available.filter(({ name }) => !ejection.isEjected(now, name));
    return healthy.length < available.length * MIN_HEALTHY_FRACTION ? available : healthy;
  }

  function listCandidates(
    now: number,
    work: WorkDescription,
    tried: ReadonlySet<string>,
  ): Candidate[] {
    const healthy = listHealthy(now, work);
    const affinityAgents = findAffinityAgents(healthy, work);
    const untried = healthy.filter(({ name }) => !tried.has(name));
    const candidates = untried.map((agent) =>
      estimateCandidate(agent, work, affinityAgents.has(agent)),
    );
    for (const candidate of candidates) {
      const penalty = ejection.computePenalty(now, candidate.agent.name);
      candidate.finishMs *= penalty * (1 + FINISH_JITTER * drawRandom());
    }
    return candidates.sort((left, right) => compareCandidates(left, right, work.deadlineMs));
  }

  return {
    updateAgent(now, name, load) {
      const waitMs = sumWaits(load);
      agents.set(name, { name, hash: hashText(name), load, waitMs });
    },
    removeAgent(name) {
      agents.delete(name);
      ejection.remove(name);
    },
    recordQueued(now, name, tier, startDelayMs) {
      const agent = agents.get(name);
      if (!agent || agent.waitMs[tier] === undefined) return;
      const deltaMs = startDelayMs - agent.waitMs[tier];
      agent.waitMs = agent.waitMs.map((waitMs, index) =>
        index < tier ? Math.min(waitMs, startDelayMs) : Math.max(startDelayMs, waitMs + deltaMs),
      );
    },
    chooseCandidates(now, work, tried) {
      const candidates = listCandidates(now, work, tried).filter(
        (candidate) => tried.size < MAX_UNFILTERED_TRIES || isWorthTrying(candidate, work),
      );
      const count = tried.size === 0 ? countFirstRound(candidates, work) : NEXT_ROUND_CANDIDATES;
      const chosen = candidates.slice(0, count);
      for (const { agent, costMs } of chosen) addWait(agent, work.tier, costMs * RESERVED_FRACTION);
      return chosen.map(({ agent }) => agent.name);
    },
    canServe: (target) => [...agents.values()].some(({ load }) => isAvailable(load, target)),
    recordOutcome(now, name, outcome) {
      if (outcome === AgentOutcome.Completed) ejection.recordSuccess(now, name);
      else if (outcome !== AgentOutcome.Refused) ejection.recordFailure(now, name);
    },
    dump: () =>
      Object.fromEntries(
        [...agents.values()].map(({ name, load, waitMs }) => [name, { ...load, waitMs }]),
      ),
  };
}

function isAvailable(load: LoadReport, target: string): boolean {
  return load.ready && !load.leaving && load.serves.includes(target);
}

function isWorthTrying({ agent, highFinishMs }: Candidate, work: WorkDescription): boolean {
  const lower = agent.load.waiting.slice(work.tier + 1);
  return highFinishMs <= work.deadlineMs || lower.some((count) => count > 0);
}

function countFirstRound(candidates: Candidate[], work: WorkDescription): number {
  const firstNotEarly = candidates.findIndex(
    ({ highFinishMs }) => highFinishMs > work.deadlineMs * EARLY_FINISH_FRACTION,
  );
  const earlyCount = firstNotEarly < 0 ? candidates.length : firstNotEarly;
  return Math.min(Math.max(earlyCount, MIN_INITIAL_CANDIDATES), MAX_INITIAL_CANDIDATES);
}

function sumWaits({ startDelayMs, backlogMs }: LoadReport): number[] {
  let waitMs = startDelayMs;
  return backlogMs.map((tierMs, tier) => {
    if (tier > 0) waitMs += tierMs;
    return waitMs;
  });
}

function addWait(agent: Agent, tier: number, costMs: number): void {
  for (let index = tier; index < agent.waitMs.length; index += 1) agent.waitMs[index]! += costMs;
}

function findAffinityAgents(agents: Agent[], work: WorkDescription): Set<Agent> {
  const key = computePrefixKey(work.prefix);
  if (key === undefined) return new Set();
  const ranked = agents
    .map((agent) => ({ agent, rendezvousWeight: computeRendezvousWeight(key, agent.hash) }))
    .sort((left, right) => right.rendezvousWeight - left.rendezvousWeight);
  return new Set(ranked.slice(0, AFFINITY_AGENTS).map(({ agent }) => agent));
}

function estimateCandidate(agent: Agent, work: WorkDescription, hasAffinity: boolean): Candidate {
  const { prefillRate, decodeRate, limit } = agent.load;
  const cachedTokens = hasAffinity ? work.prefix.length * PREFIX_BLOCK_TOKENS : 0;
  const uncachedTokens = Math.max(0, work.promptTokens - cachedTokens);
  const prefillMs = prefillRate > 0 ? (uncachedTokens / prefillRate) * 1_000 : 0;
  const msPerToken = decodeRate * 1_000;
  const startMs = agent.waitMs[work.tier]! + prefillMs;
  return {
    agent,
    finishMs: startMs + work.outputTokens * msPerToken,
    highFinishMs: startMs + work.outputTokensHigh * msPerToken,
    costMs: prefillMs + (work.outputTokens * msPerToken) / Math.max(1, limit),
  };
}

function compareCandidates(left: Candidate, right: Candidate, deadlineMs: number): number {
  const leftLate = left.highFinishMs > deadlineMs ? 1 : 0;
  const rightLate = right.highFinishMs > deadlineMs ? 1 : 0;
  return leftLate - rightLate || left.finishMs - right.finishMs;
}
