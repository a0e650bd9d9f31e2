import { expect } from 'chai';
import { createVirtualClock } from '@masticbend/kernel/clock';
import { createMetrics } from '@masticbend/kernel/metrics';
import { createLengthEstimator } from '@masticbend/scheduling/output-length';
import { createRetryBudget } from '@masticbend/scheduling/retry-budget';
import { createResultRecorder } from '../src/result-recorder.js';
import type { RequestResult } from '../src/request-state.js';

const WORK: RequestResult['work'] = {
  account: 'baker',
  tier: 1,
  target: 'praline',
  work: 'tag',
  promptTokens: 0,
  prefix: [],
  outputTokens: 0,
  outputTokensHigh: 0,
  deadlineMs: 0,
  weight: 1,
  idempotent: true,
};

function createCompleted(outputTokens: number, status: number): RequestResult {
  const usage = { promptTokens: 5, cachedTokens: 2, outputTokens, firstByteMs: 3, totalMs: 8 };
  return { id: 'r', work: WORK, totalMs: 9, usage, status };
}

describe('result recorder', () => {
  it('counts by tier and outcome', () => {
    const metrics = createMetrics(createVirtualClock());
    const record = createResultRecorder(metrics, createLengthEstimator(), createRetryBudget());
    record(createCompleted(4, 200));
    record({ id: 'r', work: WORK, totalMs: 1, failure: { kind: 'overloaded' } });
    record({ id: 'r', work: WORK, totalMs: 1 });
    expect(metrics.render()).toMatchSnapshot();
  });

  it('records the output lengths of successful answers only', () => {
    const lengths = createLengthEstimator();
    const metrics = createMetrics(createVirtualClock());
    const record = createResultRecorder(metrics, lengths, createRetryBudget());
    for (let count = 0; count < 20; count += 1) {
      record(createCompleted(40, 200));
      record(createCompleted(4_000, 503));
    }
    expect(lengths.estimate('tag')).to.deep.equal({ median: 40, high: 40 });
  });
});
