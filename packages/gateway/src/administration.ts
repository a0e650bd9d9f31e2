/** HTTP servers for readiness checks of the load balancer, and for metrics and the state dump. */
import { createServer, type Server } from 'node:http';
import { applyServerBounds } from '@masticbend/kernel/bounded-server';
import type { Kernel, Lifecycle } from '@masticbend/kernel/kernel';
import { LogEvent } from '@masticbend/kernel/log';
import { Metric } from '@masticbend/kernel/metrics';
import { READINESS_PATH } from '@masticbend/platform/ingress';
import type { EventTimes } from '@masticbend/scheduling/event-times';
import { startServer } from './network.js';
import { sumPaces } from './paces-service.js';
import type { GatewayServices } from './services.js';
import type { GatewaySettings } from './settings.js';

/** Time limit for the receipt of a request for readiness, metrics or the state dump. */
export const REQUEST_MS = 10_000;

/** Returns the service; `state.stopping` is set when the process begins to stop. */
export function createAdministration(
  kernel: Kernel<GatewayServices>,
  settings: GatewaySettings,
  state: { stopping: boolean },
): Lifecycle {
  const log = kernel.find('log');
  const view = kernel.find('view');
  const metrics = kernel.find('metrics');
  const serverPool = kernel.find('board');
  const clock = kernel.find('clock');
  const servers: Server[] = [];
  let wasReady = false;

  function isReady(): boolean {
    const isBehind = kernel.find('ingress').isBehind();
    const ready =
      !state.stopping &&
      !isBehind &&
      view.getView() !== undefined &&
      view.isConfigurationRecent() &&
      serverPool.listServers().length > 0;
    if (ready !== wasReady) {
      wasReady = ready;
      log.info(LogEvent.ReadinessChanged, { ready, stopping: state.stopping, behind: isBehind });
    }
    return ready;
  }

  function registerAgeGauge(name: Metric, getAgeMs: () => number | undefined): void {
    metrics.registerGauge(name, () => Math.round(getAgeMs() ?? -1));
  }

  return {
    async start() {
      metrics.registerGauge(Metric.OpenRequests, kernel.find('requests').countOpen);
      metrics.registerGauge(Metric.AcceptWait, () =>
        Math.round(kernel.find('ingress').getAcceptWaitMs()),
      );
      metrics.registerGauge(Metric.HeldBytes, kernel.find('connections').countBytes);
      metrics.registerGauge(
        Metric.AcceptedConnections,
        kernel.find('connections').countConnections,
      );
      metrics.registerGauge(Metric.ConfigurationRevision, () =>
        Number(view.getView()?.configuration.version ?? 0),
      );
      registerAgeGauge(Metric.ConfigurationAge, view.getAgeMs);
      registerAgeGauge(Metric.ServersAge, kernel.find('servers').getAgeMs);
      metrics.registerGauge(Metric.OtherEntries, () => kernel.find('members').listOthers().length);
      metrics.registerGauge(Metric.ListedServers, () => serverPool.listServers().length);
      metrics.registerGauge(Metric.UsableServers, () => serverPool.countUsable(clock.now()));
      if (settings.features.steadyStreams) registerStreamGauges(kernel);
      if (settings.features.pacedServers) {
        metrics.registerGauge(Metric.ServerPace, () => sumPaces(serverPool.listServers()));
      }
      const readinessServer = createServer((request, response) => {
        const status = request.url?.startsWith(READINESS_PATH) && isReady() ? 200 : 503;
        response.writeHead(status, { 'content-length': '0' }).end();
      });
      const operatorServer = createServer((request, response) => {
        if (request.url === '/dump') response.end(JSON.stringify(kernel.dump()));
        else response.end(metrics.render());
      });
      servers.push(readinessServer, operatorServer);
      const bounds = kernel.find('connections');
      for (const each of servers) {
        applyServerBounds(each, { clock, bounds, refusesBodies: true, requestMs: REQUEST_MS });
      }
      await startServer(readinessServer, settings.readinessAddress);
      await startServer(operatorServer, settings.metricsAddress);
    },
    stop() {
      for (const server of servers) {
        server.close();
        server.closeAllConnections();
      }
    },
  };
}

/** Registers the estimates for each engine that has samples. */
function registerStreamGauges(kernel: Kernel<GatewayServices>): void {
  const register = (name: Metric, read: (times: EventTimes, id: string) => number | undefined) =>
    kernel.find('metrics').registerGauges(name, () =>
      kernel
        .find('board')
        .listServers()
        .flatMap(({ server: { id }, eventTimes }) => {
          const value = eventTimes && read(eventTimes, id);
          return value === undefined ? [] : [{ labels: { server: id }, value: Math.round(value) }];
        }),
    );
  register(Metric.EventInterval, (times) => times.getIntervalMs());
  register(
    Metric.Prefill,
    (times, id) => kernel.find('permits').findLoad(id)?.prefillMs ?? times.getPrefillMs(),
  );
}
