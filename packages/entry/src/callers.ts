/**
 * Start and graceful stop of the caller server. A stopping entry first continues to accept requests
 * until the load balancer has noticed that it is not ready. Then it accepts no more connections and
 * waits until every open request has been answered.
 */
import { waitUntilIdle, type Lifecycle } from '@masticbend/kernel/kernel';
import type { CallerServer } from './caller-server.js';

/** Options of the caller server's lifecycle. */
export interface CallersOptions {
  callers: CallerServer;
  host: string;
  port: number;
  /** Time during which a stopping entry continues to accept requests. */
  lameDuckMs: number;
  /** Marks the entry as stopping: it is no longer ready, and answers close their connections. */
  onStopping: () => void;
}

/** Returns the lifecycle of a caller server. */
export function createCallersLifecycle(options: CallersOptions): Required<Omit<Lifecycle, 'dump'>> {
  const { callers, host, port, lameDuckMs, onStopping } = options;
  const { server, countOpen } = callers;
  return {
    start: () =>
      new Promise<void>((resolve, reject) => {
        server.once('error', reject);
        server.listen(port, host, resolve);
      }),
    async stop() {
      onStopping();
      await new Promise((resolve) => {
        setTimeout(resolve, lameDuckMs);
      });
      server.close();
      await waitUntilIdle(countOpen);
      server.closeAllConnections();
    },
  };
}
