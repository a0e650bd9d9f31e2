import { expect } from 'chai';
import { createVirtualClock } from '../src/clock.js';
import { createMetrics, Metric } from '../src/metrics.js';

describe('metrics', () => {
  it('renders counters, gauges and durations as Prometheus text', () => {
    const metrics = createMetrics(createVirtualClock());
    metrics.addCount(Metric.RequestsTotal, { tier: 0, outcome: 'whole' }, 2);
    metrics.addCount(Metric.RequestsTotal, { tier: 0, outcome: 'whole' }, 1);
    metrics.addCount(Metric.RequestsTotal, { tier: 1, outcome: 'over"loaded' }, 1);
    for (let value = 1; value <= 100; value += 1) {
      metrics.recordDuration(Metric.RequestDuration, { tier: 0 }, value);
    }
    metrics.registerGauge(Metric.OpenRequests, () => 7);
    expect(metrics.render()).toMatchSnapshot();
  });

  it('drops durations older than two minutes from the quantiles, not from the count', () => {
    const clock = createVirtualClock();
    const metrics = createMetrics(clock);
    const labels = { tier: 0 };
    metrics.recordDuration(Metric.RequestDuration, labels, 9_000);
    clock.advance(61_000);
    metrics.recordDuration(Metric.RequestDuration, labels, 10);
    expect(metrics.render()).to.match(/quantile="0.99"} 9\d\d\d\n/);
    clock.advance(61_000);
    metrics.recordDuration(Metric.RequestDuration, labels, 10);
    expect(metrics.render()).to.include('quantile="0.99"} 10\n');
    clock.advance(200_000);
    expect(metrics.render()).to.include('quantile="0.99"} 0\n');
    expect(metrics.render()).to.include('masticbend_request_duration_ms_count{tier="0"} 3\n');
  });
});
