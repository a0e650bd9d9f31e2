/**
 * Administration server of one process: health, readiness, state dump, metrics and the routes that
 * the process adds, over HTTP.
 */
import type { Server } from 'node:http';
import { App } from '@tinyhttp/app';

const METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

/** Source of the state that the server exposes. */
export interface AdministrationSource {
  isReady: () => boolean;
  dump: () => unknown;
  /** Returns the metrics as Prometheus text. */
  renderMetrics?: () => string;
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
  return app.listen(port, undefined, host);
}
