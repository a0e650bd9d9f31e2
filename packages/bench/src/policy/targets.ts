/**
 * Checks a measurement against the product's performance targets.
 */
import type { CellResult, Measurement } from './measurement.js';

/** Minimum goodput of the highest tier, required at loads up to MAX_TOP_TIER_LOAD. */
const MIN_TOP_TIER_GOODPUT = 0.99;
const MAX_TOP_TIER_LOAD = 1.3;
/** Maximum fraction of wasted prefill, by load. */
const MAX_WASTED_PREFILL: Readonly<Record<number, number>> = { 1: 0.01, 2: 0.03 };
/** Minimum ratio of the answers per second at twice the capacity to those at capacity. */
const MIN_OVERLOAD_THROUGHPUT_RATIO = 0.95;

/** Result of checking one target, with the cells that miss it. */
export interface TargetResult {
  target: string;
  checkedCells: number;
  misses: string[];
}

/** Checks every target. */
export function checkTargets({ cells }: Measurement): TargetResult[] {
  return [
    checkCells(
      `top tier at least ${MIN_TOP_TIER_GOODPUT} up to ${MAX_TOP_TIER_LOAD} times capacity`,
      cells.filter(({ load }) => load <= MAX_TOP_TIER_LOAD),
      findTopTierMiss,
    ),
    checkCells('no tier below naive unless a higher tier gains', cells, findTierBelowNaive),
    checkCells(
      'wasted prefill at most 0.01 at capacity and 0.03 at twice capacity',
      cells.filter(({ load }) => MAX_WASTED_PREFILL[load] !== undefined),
      findWastedPrefillMiss,
    ),
    checkCells(
      `answers per second at twice capacity at least ${MIN_OVERLOAD_THROUGHPUT_RATIO} of those at capacity`,
      cells.filter(({ load }) => load === 2),
      (cell) => findOverloadMiss(cell, cells),
    ),
  ];
}

function checkCells(
  target: string,
  cells: CellResult[],
  findMiss: (cell: CellResult) => string | undefined,
): TargetResult {
  const misses = cells.flatMap((cell) => {
    const miss = findMiss(cell);
    return miss ? [`${cell.deployment} ${cell.condition} ${cell.load}: ${miss}`] : [];
  });
  return { target, checkedCells: cells.length, misses };
}

function findTopTierMiss({ policies }: CellResult): string | undefined {
  const goodput = policies.masticbend.goodput[0]!;
  return goodput < MIN_TOP_TIER_GOODPUT ? goodput.toFixed(4) : undefined;
}

function findTierBelowNaive({ policies }: CellResult): string | undefined {
  const { masticbend, naive } = policies;
  for (const [tier, goodput] of masticbend.goodput.entries()) {
    if (goodput > naive.goodput[tier]!) return undefined;
    if (goodput < naive.goodput[tier]!) {
      return `tier ${tier} ${goodput.toFixed(4)}, naive ${naive.goodput[tier]!.toFixed(4)}`;
    }
  }
  return undefined;
}

function findWastedPrefillMiss({ policies, load }: CellResult): string | undefined {
  const { wastedPrefill } = policies.masticbend;
  return wastedPrefill > MAX_WASTED_PREFILL[load]! ? wastedPrefill.toFixed(4) : undefined;
}

function findOverloadMiss(cell: CellResult, cells: CellResult[]): string | undefined {
  const cellAtCapacity = cells.find(
    ({ deployment, condition, load }) =>
      load === 1 && deployment === cell.deployment && condition === cell.condition,
  );
  if (!cellAtCapacity) return undefined;
  const ratio =
    cell.policies.masticbend.answersPerSecond / cellAtCapacity.policies.masticbend.answersPerSecond;
  return ratio < MIN_OVERLOAD_THROUGHPUT_RATIO ? ratio.toFixed(3) : undefined;
}
