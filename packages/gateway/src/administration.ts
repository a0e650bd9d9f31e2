/** Readiness for the balancer, and metrics and the state dump for operators. */
import { createServer, type Server } from 'node:http';
import type { Kernel, Lifecycle } from '@masticbend/kernel/kernel';
import { LogEvent } from '@masticbend/kernel/log';
import { Metric } from '@masticbend/kernel/metrics';
import { READINESS_PATH } from '@masticbend/platform/ingress';
import { startServer } from './network.js';
import type { GatewayServices } from './services.js';
import type { GatewaySettings } from './settings.js';

/** Returns the service; `state` tells when the process stops. */
export function createAdministration(
  kernel: Kernel<GatewayServices>,
  settings: GatewaySettings,
  state: { stopping: boolean },
): Lifecycle {
  const log = kernel.find('log');
  const view = kernel.find('view');
  const metrics = kernel.find('metrics');
  const board = kernel.find('board');
  const clock = kernel.find('clock');
  const servers: Server[] = [];
  let wasReady = false;

  function isReady(): boolean {
    const ready =
      !state.stopping &&
      view.getView() !== undefined &&
      view.isRecent() &&
      board.listServers().length > 0;
    if (ready !== wasReady) {
      wasReady = ready;
      log.info(LogEvent.ReadinessChanged, { ready, stopping: state.stopping });
    }
    return ready;
  }

  function registerAge(name: Metric, getAgeMs: () => number | undefined): void {
    metrics.registerGauge(name, () => Math.round(getAgeMs() ?? -1));
  }

  return {
    async start() {
      metrics.registerGauge(Metric.OpenRequests, kernel.find('requests').countOpen);
      metrics.registerGauge(Metric.ConfigurationRevision, () =>
        Number(view.getView()?.configuration.version ?? 0),
      );
      registerAge(Metric.ConfigurationAge, view.getAgeMs);
      registerAge(Metric.ServersAge, kernel.find('servers').getAgeMs);
      metrics.registerGauge(Metric.OtherEntries, () => kernel.find('members').listOthers().length);
      metrics.registerGauge(Metric.ListedServers, () => board.listServers().length);
      metrics.registerGauge(Metric.UsableServers, () => board.countUsable(clock.now()));
      const readiness = createServer((request, response) => {
        const status = request.url?.startsWith(READINESS_PATH) && isReady() ? 200 : 503;
        response.writeHead(status, { 'content-length': '0' }).end();
      });
      const operators = createServer((request, response) => {
        if (request.url === '/dump') response.end(JSON.stringify(kernel.dump()));
        else response.end(metrics.render());
      });
      servers.push(readiness, operators);
      await startServer(readiness, settings.readinessAddress);
      await startServer(operators, settings.metricsAddress);
    },
    stop() {
      for (const server of servers) {
        server.close();
        server.closeAllConnections();
      }
    },
  };
}
