/** Assembles one agent: the permit server of its engine, and its metrics and state dump. */
import { createServer } from 'node:http';
import { applyServerBounds } from '@masticbend/kernel/bounded-server';
import { createSystemClock } from '@masticbend/kernel/clock';
import { createLogger, LogEvent } from '@masticbend/kernel/log';
import { REQUEST_MS } from './administration.js';
import { startServer } from './network.js';
import { createPermitServer } from './permit-server.js';
import { createAgentBounds } from './process-bounds.js';
import type { Runnable } from './program.js';
import type { AgentSettings } from './settings.js';

/**
 * Builds an agent. Its state need not survive a restart: entries report their running requests when
 * they connect.
 */
export function createPermitAgent(settings: AgentSettings): Runnable {
  const log = createLogger({ process: settings.instance }, settings.logLevel);
  const clock = createSystemClock();
  const bounds = createAgentBounds(clock, log, settings);
  const permits = createPermitServer({
    address: settings.meshAddress,
    clock,
    log,
    bounds,
    isPaced: settings.features.pacedServers,
    hasSteadyStreams: settings.features.steadyStreams,
    refusesEarly: settings.features.earlyRefusals,
  });
  const operators = createServer((request, response) => {
    if (request.url === '/dump') response.end(JSON.stringify(permits.dump()));
    else response.end(permits.renderMetrics());
  });
  applyServerBounds(operators, { clock, bounds, refusesBodies: true, requestMs: REQUEST_MS });
  return {
    log,
    async start() {
      await permits.start();
      await startServer(operators, settings.metricsAddress);
      log.info(LogEvent.ProcessStarted, { address: settings.meshAddress });
    },
    async stop() {
      log.info(LogEvent.ProcessStopping);
      permits.stop();
      operators.close();
      operators.closeAllConnections();
    },
  };
}
