/** Who may call: routes, API keys and how recently the keys in force were confirmed. */
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import type { ConfigurationView } from './configuration-view.js';
import type { Access, IncomingRequest, RequestState } from './request-state.js';

/** Advice while the store is away, in milliseconds. */
export const OUTAGE_RETRY_MS = 1_000;
/** Advice of a process that has just started: it reads its configuration in that time. */
const START_RETRY_MS = 400;

/** The keys in force may have been taken away since they were read. */
const STALE_KEYS: Failure = { kind: ErrorKind.PlatformUnavailable, retryAfterMs: OUTAGE_RETRY_MS };

/** Tells whether the keys in force are known recently enough to admit by them. */
export type CheckKeys = () => boolean;

/** Finds the route and the account of a request, or why it is turned away. */
export function checkAccess(
  view: ConfigurationView | undefined,
  { host, target, facts }: IncomingRequest,
  areKeysFresh: CheckKeys,
): Failure | Access {
  if (!view) {
    return { kind: ErrorKind.ConfigurationUnavailable, retryAfterMs: START_RETRY_MS };
  }
  const route = view.routes.find(host, target);
  if (!route) return { kind: ErrorKind.NotFound };
  if (route.anonymous || view.configuration.accounts.length === 0) return { route };
  if (!areKeysFresh()) return STALE_KEYS;
  const account = view.accounts.get(facts.apiKey ?? '');
  return account ? { route, account } : { kind: ErrorKind.Unauthenticated };
}

/** Checks a request again when it is sent: its key may have been taken away while it waited. */
export function checkAccessAgain(
  view: ConfigurationView | undefined,
  { account, incoming, version }: RequestState,
  areKeysFresh: CheckKeys,
): Failure | undefined {
  if (!account) return undefined;
  if (!areKeysFresh()) return STALE_KEYS;
  if (view?.configuration.version === version) return undefined;
  const isKept = view?.accounts.get(incoming.facts.apiKey ?? '')?.name === account.name;
  return isKept ? undefined : { kind: ErrorKind.Unauthenticated };
}
