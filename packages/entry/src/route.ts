/**
 * Routes a caller's request by path and method: a chat completion, the list of models, or an
 * operation of a plain service.
 */
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import { CHAT_PATH } from '@masticbend/protocol/message';
import type { Configuration, ServiceOperation } from '@masticbend/settings/configuration';

const MODELS_PATH = '/v1/models';
/** Prefix of plain services: `/services/NAME/...`. */
const SERVICE_PREFIX = '/services/';
/** Characters and escapes that no path sent to a backend server may contain. */
const FORBIDDEN_CHARACTERS_PATTERN = /[^\x21-\x7e]|\\|%2f|%5c|%00/i;

/** Destination of a request. */
export type Route =
  | { kind: 'chat' }
  | { kind: 'models' }
  | { kind: 'options'; allow: string }
  | { kind: 'service'; name: string; path: string; operation: ServiceOperation };

/** A route, or the failure to answer with; `allow` lists the methods the path supports. */
export type RouteResult =
  { ok: true; route: Route } | { ok: false; failure: Failure; allow?: string };

/** Returns the route of a request. */
export function findRoute(
  configuration: Configuration,
  method: string,
  target: string,
): RouteResult {
  const [path] = target.split('?');
  if (path === CHAT_PATH) return resolveMethod(method, 'POST', { kind: 'chat' });
  if (path === MODELS_PATH) return resolveMethod(method, 'GET', { kind: 'models' });
  if (target.startsWith(SERVICE_PREFIX)) return findService(configuration, method, target);
  return { ok: false, failure: { kind: ErrorKind.NotFound } };
}

/** Returns the value of an own property; inherited names such as `constructor` are not found. */
export function findOwnValue<Value>(record: Record<string, Value>, key: string): Value | undefined {
  return Object.hasOwn(record, key) ? record[key] : undefined;
}

function resolveMethod(method: string, allowed: string, route: Route): RouteResult {
  if (method === allowed || (method === 'HEAD' && allowed === 'GET')) return { ok: true, route };
  return refuseMethod(method, [allowed]);
}

function refuseMethod(method: string, allowed: string[]): RouteResult {
  const allow = [...allowed, 'OPTIONS'].join(', ');
  if (method === 'OPTIONS') return { ok: true, route: { kind: 'options', allow } };
  return { ok: false, failure: { kind: ErrorKind.MethodNotAllowed }, allow };
}

function findService(configuration: Configuration, method: string, target: string): RouteResult {
  const [name, ...rest] = target.slice(SERVICE_PREFIX.length).split('/');
  const path = `/${rest.join('/')}`;
  const [pathWithoutQuery] = path.split('?');
  const service = findOwnValue(configuration.services, name!);
  const candidates =
    service?.operations.filter((operation) => matchPath(operation, pathWithoutQuery!)) ?? [];
  if (candidates.length === 0 || !isUnambiguousPath(path)) {
    return { ok: false, failure: { kind: ErrorKind.NotFound } };
  }
  const operation = candidates.find((candidate) => candidate.method === method);
  if (operation) return { ok: true, route: { kind: 'service', name: name!, path, operation } };
  return refuseMethod(
    method,
    candidates.map((candidate) => candidate.method),
  );
}

function matchPath(operation: ServiceOperation, path: string): boolean {
  if (!operation.path.endsWith('*')) return operation.path === path;
  return path.startsWith(operation.path.slice(0, -1));
}

/** Returns whether no backend server can interpret the path as a different one. */
function isUnambiguousPath(path: string): boolean {
  if (FORBIDDEN_CHARACTERS_PATTERN.test(path)) return false;
  const segments = path.split('?')[0]!.split('/').slice(1);
  return segments.every(
    (segment, index) =>
      !/^(\.|%2e){1,2}$/i.test(segment) && (segment !== '' || index === segments.length - 1),
  );
}
