/** Access control: routes, API keys, and the age of the configuration that holds the keys. */
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import type { GatewayRoute } from '@masticbend/settings/routing';
import type { ConfigurationView } from './configuration-view.js';
import type { Access, IncomingRequest, RequestState } from './request-state.js';

/** Retry delay given to callers while the store is unavailable. */
export const OUTAGE_RETRY_AFTER_MS = 1_000;
/** Retry delay given to callers of a new process, which reads its configuration in this time. */
const STARTUP_RETRY_AFTER_MS = 400;

/** The known keys may have been revoked since they were read. */
const STALE_KEYS: Failure = {
  kind: ErrorKind.PlatformUnavailable,
  retryAfterMs: OUTAGE_RETRY_AFTER_MS,
};

/** Returns whether the known keys were confirmed recently enough to admit requests by them. */
export type KeyFreshnessCheck = () => boolean;

/** Finds the route and the account of a request, or the failure with which it is refused. */
export function checkAccess(
  view: ConfigurationView | undefined,
  { host, target, rawHeaders, metadata }: IncomingRequest,
  areKeysFresh: KeyFreshnessCheck,
): Failure | Access {
  if (!view) {
    return { kind: ErrorKind.ConfigurationUnavailable, retryAfterMs: STARTUP_RETRY_AFTER_MS };
  }
  if (countHosts(rawHeaders) > 1) return { kind: ErrorKind.InvalidRequest };
  const route = view.routes.find(host, target);
  if (!route) return { kind: ErrorKind.NotFound };
  return checkKey(view, route, metadata.apiKey, areKeysFresh);
}

/**
 * Checks a request again before it is sent, by the newest configuration: its key may have been
 * revoked while it waited or given to another account, or its route may need a key since. A route
 * that was removed since needs one if it did so before. Returns the account that it has now.
 */
export function checkAccessAgain(
  view: ConfigurationView,
  { route, account, incoming, version }: RequestState,
  areKeysFresh: KeyFreshnessCheck,
): Failure | Access {
  if (view.configuration.version === version) {
    return account && !areKeysFresh() ? STALE_KEYS : { route, account };
  }
  const { host, target, metadata } = incoming;
  const currentRoute = view.routes.find(host, target) ?? route;
  return checkKey(view, currentRoute, metadata.apiKey, areKeysFresh);
}

function checkKey(
  view: ConfigurationView,
  route: GatewayRoute,
  apiKey: string | undefined,
  areKeysFresh: KeyFreshnessCheck,
): Failure | Access {
  if (route.anonymous || !view.accounts) return { route };
  if (!areKeysFresh()) return STALE_KEYS;
  const account = apiKey === undefined ? undefined : view.accounts.get(apiKey);
  return account ? { route, account } : { kind: ErrorKind.Unauthenticated };
}

/** A request with several hosts is invalid (RFC 9112, section 3.2). */
function countHosts(rawHeaders: IncomingRequest['rawHeaders']): number {
  return rawHeaders.filter((name, index) => index % 2 === 0 && name.toLowerCase() === 'host')
    .length;
}
