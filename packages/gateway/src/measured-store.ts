/** Metrics of the calls from an entry to the store. */
import type { Clock } from '@masticbend/kernel/clock';
import { Metric, type Metrics } from '@masticbend/kernel/metrics';
import type { Store } from '@masticbend/platform/store';

/** Wraps a client; counts and times each call by its name and the kind of its result. */
export function createMeasuredStore(store: Store, clock: Clock, metrics: Metrics): Store {
  async function measure<Result extends { kind: string }>(
    call: string,
    result: Promise<Result>,
  ): Promise<Result> {
    const startedAt = clock.now();
    const { kind } = await result;
    metrics.addCount(Metric.StoreCallsTotal, { call, result: kind }, 1);
    metrics.recordDuration(Metric.StoreCallDuration, { call }, clock.now() - startedAt);
    return result;
  }

  return {
    readRows: (table) => measure('rows', store.readRows(table)),
    readChanges: (table, after, waitMs) =>
      measure('changes', store.readChanges(table, after, waitMs)),
    writeRow: (...row) => measure('write', store.writeRow(...row)),
    writeRows: (...rows) => measure('write', store.writeRows(...rows)),
    close: store.close,
  };
}
