/**
 * The two measured deployments, with their engines, client accounts and work classes, and the
 * generator of their arrivals.
 */
import { uniformFloat32 } from 'pure-rand/distribution/uniformFloat32';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { CACHE_BLOCK_TOKENS, type EngineOptions } from './engine-model.js';

/** Class of similar requests. Lengths are drawn log-uniformly from their range. */
export interface WorkClass {
  name: string;
  tier: number;
  /** Fraction of the arrivals. */
  share: number;
  promptTokens: [low: number, high: number];
  outputTokens: [low: number, high: number];
  deadlineMs: number;
  /** Length of the prompt prefixes shared within an account, and number of such prefixes. */
  sharedPrefixTokens: number;
  sharedPrefixCount: number;
}

/** A measured deployment. */
export interface Deployment {
  name: string;
  tiers: number;
  entries: number;
  engines: EngineOptions[];
  workClasses: WorkClass[];
  /** Client accounts, each with its fraction of the arrivals. */
  accounts: { name: string; share: number }[];
}

/** A request that reaches an entry. */
export interface Arrival {
  id: string;
  arrivedAt: number;
  entry: number;
  account: string;
  workClass: WorkClass;
  promptTokens: number;
  outputTokens: number;
  /** Identifiers of the cache blocks of the shared prefix. */
  prefix: string[];
}

/** Returns a random number in [0, 1). */
export type DrawRandom = () => number;

/** Returns the arrival rate at a time of the run, relative to its mean. */
export type ComputeRateFactor = (atMs: number) => number;

const ACCOUNTS = [
  { name: 'account-1', share: 0.4 },
  { name: 'account-2', share: 0.3 },
  { name: 'account-3', share: 0.15 },
  { name: 'account-4', share: 0.1 },
  { name: 'account-5', share: 0.05 },
];

export const NASCHPROBE: Deployment = {
  name: 'naschprobe',
  tiers: 3,
  entries: 3,
  engines: createEngines(12),
  accounts: ACCOUNTS,
  workClasses: [
    {
      name: 'tag',
      tier: 0,
      share: 0.45,
      promptTokens: [250, 600],
      outputTokens: [3, 10],
      deadlineMs: 3_000,
      sharedPrefixTokens: 256,
      sharedPrefixCount: 1,
    },
    {
      name: 'reply',
      tier: 1,
      share: 0.4,
      promptTokens: [600, 3_000],
      outputTokens: [60, 240],
      deadlineMs: 20_000,
      sharedPrefixTokens: 512,
      sharedPrefixCount: 2,
    },
    {
      name: 'dossier',
      tier: 2,
      share: 0.15,
      promptTokens: [6_000, 36_000],
      outputTokens: [150, 600],
      deadlineMs: 60_000,
      sharedPrefixTokens: 4_096,
      sharedPrefixCount: 6,
    },
  ],
};

export const ADEYEMI_OKAFOR: Deployment = {
  name: 'adeyemi-okafor',
  tiers: 3,
  entries: 2,
  engines: createEngines(8),
  accounts: ACCOUNTS,
  workClasses: [
    {
      name: 'quote',
      tier: 0,
      share: 0.35,
      promptTokens: [700, 2_400],
      outputTokens: [80, 220],
      deadlineMs: 20_000,
      sharedPrefixTokens: 512,
      sharedPrefixCount: 2,
    },
    {
      name: 'check',
      tier: 1,
      share: 0.5,
      promptTokens: [200, 600],
      outputTokens: [6, 20],
      deadlineMs: 4_000,
      sharedPrefixTokens: 0,
      sharedPrefixCount: 1,
    },
    {
      name: 'review',
      tier: 2,
      share: 0.15,
      promptTokens: [10_000, 40_000],
      outputTokens: [300, 900],
      deadlineMs: 90_000,
      sharedPrefixTokens: 2_048,
      sharedPrefixCount: 3,
    },
  ],
};

/** Returns a generator of random numbers in [0, 1), determined by the seed. */
export function createRandom(seed: number): DrawRandom {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat32(generator);
}

/**
 * Draws the arrivals of a run, with exponentially distributed gaps. `computeRateFactor` scales the
 * rate over the run.
 */
export function createArrivals(
  deployment: Deployment,
  ratePerSecond: number,
  durationMs: number,
  computeRateFactor: ComputeRateFactor,
  random: DrawRandom,
): Arrival[] {
  const arrivals: Arrival[] = [];
  let arrivedAt = 0;
  for (;;) {
    const meanGapMs = 1_000 / (ratePerSecond * computeRateFactor(arrivedAt));
    arrivedAt += -Math.log(1 - random()) * meanGapMs;
    if (arrivedAt >= durationMs) return arrivals;
    arrivals.push(createArrival(deployment, `r${arrivals.length}`, arrivedAt, random));
  }
}

/** Draws one request. */
export function createArrival(
  deployment: Deployment,
  id: string,
  arrivedAt: number,
  random: DrawRandom,
): Arrival {
  const workClass = chooseByShare(deployment.workClasses, random);
  const account = chooseByShare(deployment.accounts, random).name;
  const promptTokens = drawLength(workClass.promptTokens, random);
  const outputTokens = drawLength(workClass.outputTokens, random);
  const prefixIndex = Math.floor(random() * workClass.sharedPrefixCount);
  const blockCount = Math.min(workClass.sharedPrefixTokens, promptTokens) / CACHE_BLOCK_TOKENS;
  const prefix = Array.from(
    { length: Math.floor(blockCount) },
    (_, index) => `${account}/${workClass.name}/${prefixIndex}/${index}`,
  );
  const entry = Math.floor(random() * deployment.entries);
  return { id, arrivedAt, entry, account, workClass, promptTokens, outputTokens, prefix };
}

function drawLength([low, high]: [number, number], random: DrawRandom): number {
  return Math.round(low * (high / low) ** random());
}

function chooseByShare<Item extends { share: number }>(items: Item[], random: DrawRandom): Item {
  let remaining = random() * items.reduce((sum, { share }) => sum + share, 0);
  for (const item of items) {
    remaining -= item.share;
    if (remaining < 0) return item;
  }
  return items.at(-1)!;
}

function createEngines(count: number): EngineOptions[] {
  return Array.from({ length: count }, (_, index) => {
    const speed = 4 ** (1 - index / (count - 1));
    return {
      prefillRate: 4_000 * speed,
      stepMs: 48 / speed,
      stepPerSequenceMs: 1.6 / speed,
      maxSequences: 64,
      memoryTokens: 200_000,
      cacheTokens: 40_960,
    };
  });
}
