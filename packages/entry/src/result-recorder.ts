/** Records the result of each request: metrics, output lengths per work class, retry budget. */
import { Metric, type Metrics } from '@masticbend/kernel/metrics';
import { ANSWERS, ExecutionStatus } from '@masticbend/protocol/error';
import type { LengthEstimator } from '@masticbend/scheduling/output-length';
import type { RetryBudget } from '@masticbend/scheduling/retry-budget';
import type { RequestResult } from './request-state.js';

/** Lowest HTTP status of an error; the output length of such an answer is not recorded. */
const MIN_ERROR_STATUS = 400;

/** Returns a function that records one result. */
export function createResultRecorder(
  metrics: Metrics,
  lengths: Pick<LengthEstimator, 'record'>,
  retries: Pick<RetryBudget, 'recordSuccess'>,
): (result: RequestResult) => void {
  return (result) => {
    const { work, usage, failure, status = 0, totalMs } = result;
    const { tier } = work;
    const outcome = failure?.kind ?? (usage ? 'whole' : 'caller-left');
    metrics.addCount(Metric.RequestsTotal, { tier, outcome }, 1);
    if (!usage) return;
    retries.recordSuccess();
    metrics.recordDuration(Metric.RequestDuration, { tier }, totalMs);
    metrics.recordDuration(Metric.FirstByteDuration, { tier }, usage.firstByteMs);
    metrics.addCount(Metric.TokensTotal, { tier, kind: 'prompt' }, usage.promptTokens);
    metrics.addCount(Metric.TokensTotal, { tier, kind: 'cached' }, usage.cachedTokens);
    metrics.addCount(Metric.TokensTotal, { tier, kind: 'output' }, usage.outputTokens);
    const isUsableSample = status < MIN_ERROR_STATUS && usage.outputTokens > 0;
    if (isUsableSample) lengths.record(work.work, usage.outputTokens);
  };
}

/** Returns the tokens to charge to the account's rate: none if the request never ran. */
export function countTokens({ work, usage, failure }: RequestResult): number {
  if (usage) return usage.promptTokens + usage.outputTokens;
  const ran = failure === undefined || ANSWERS[failure.kind].ran !== ExecutionStatus.No;
  return ran ? work.promptTokens + work.outputTokens : 0;
}
