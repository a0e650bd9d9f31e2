/** Formats a measurement as Markdown tables. */
import { PolicyName, type Measurement } from './measurement.js';
import { checkTargets } from './targets.js';

const HEADER =
  '| deployment | condition | load | policy | goodput by tier | answers/s | tokens/s | wasted prefill | refused after ms |';

/** Returns the metrics of every cell and policy, and the result of each target. */
export function formatMeasurement(measurement: Measurement): string {
  const { seed, capacity, cells } = measurement;
  const lines = [`seed ${seed}`];
  for (const [deployment, rate] of Object.entries(capacity)) {
    lines.push(`capacity of ${deployment}: ${rate.toFixed(1)} requests/s`);
  }
  lines.push('', HEADER, HEADER.replace(/[^|]+/g, '---'));
  for (const { deployment, condition, load, policies } of cells) {
    for (const name of Object.values(PolicyName)) {
      const metrics = policies[name];
      const columns = [
        deployment,
        condition,
        load,
        name,
        metrics.goodput.map((share) => share.toFixed(3)).join(' '),
        metrics.answersPerSecond.toFixed(1),
        Math.round(metrics.tokensPerSecond),
        metrics.wastedPrefill.toFixed(4),
        Math.round(metrics.meanRefusalMs),
      ];
      lines.push(`| ${columns.join(' | ')} |`);
    }
  }
  lines.push('', ...checkTargets(measurement).flatMap(formatTargetResult));
  return lines.join('\n');
}

function formatTargetResult({
  target,
  checkedCells,
  misses,
}: ReturnType<typeof checkTargets>[number]): string[] {
  if (checkedCells === 0) return [`not checked: ${target}`];
  const outcome = misses.length === 0 ? 'met' : 'missed';
  const count = `${checkedCells - misses.length} of ${checkedCells} cells`;
  return [`${outcome}: ${target} (${count})`, ...misses.map((miss) => `  ${miss}`)];
}
