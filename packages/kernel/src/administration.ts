/**
 * Administration server of one process: health, readiness, state dump, metrics and the routes that
 * the process adds, over HTTP.
 */
import { createServer, type RequestListener, type Server } from 'node:http';
import { App } from '@tinyhttp/app';
import { applyServerBounds } from './bounded-server.js';
import type { Clock } from './clock.js';
import type { ConnectionBounds } from './connection-bounds.js';

/** Time limit for the receipt of a call. */
const REQUEST_MS = 10_000;
const METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

/** Source of the state that the server exposes. */
export interface AdministrationSource {
  isReady: () => boolean;
  dump: () => unknown;
  /** Returns the metrics as Prometheus text. */
  renderMetrics?: () => string;
  clock: Clock;
  /** Bounds of all connections of the process. */
  bounds: ConnectionBounds;
  /** Adds the process's own routes. */
  addRoutes?: (app: App) => void;
}

/** Starts the server; it listens on the given host and port. */
export function startAdministration(
  host: string,
  port: number,
  source: AdministrationSource,
): Server {
  const app = new App();
  app.get('/healthz', (_request, response) => {
    response.json({ alive: true });
  });
  app.get('/readyz', (_request, response) => {
    response.status(source.isReady() ? 200 : 503).json({ ready: source.isReady() });
  });
  app.get('/dump', (_request, response) => {
    response.json(source.dump());
  });
  const { renderMetrics } = source;
  if (renderMetrics) {
    app.get('/metrics', (_request, response) => {
      response.setHeader('content-type', METRICS_CONTENT_TYPE);
      response.end(renderMetrics());
    });
  }
  source.addRoutes?.(app);
  const server = createServer(app.attach as RequestListener);
  applyServerBounds(server, { ...source, requestMs: REQUEST_MS });
  return server.listen(port, host);
}
