/**
 * Finds what a configuration contains without effect, and limits that contradict each other. Such a
 * configuration is taken by the entries, but does not do what it seems to say.
 */
import {
  HEADER_LINE_OVERHEAD_BYTES,
  LimitUnit,
  Repeat,
  type AccountLimit,
  type CallerLimits,
  type GatewayAccount,
  type GatewayRoute,
  type RoutingConfiguration,
} from '@masticbend/settings/routing';
import { createRouteIndex, type RouteIndex } from './gateway-route.js';
import { countUnits } from './shared-limit.js';

/** Something in a configuration that is probably a mistake. */
export interface Finding {
  /** What it is about, such as `route "orders"`. */
  subject: string;
  text: string;
}

/** Number of characters of a key that are shown, and the least that stay hidden. */
const SHOWN_KEY_CHARACTERS = 4;
const HIDDEN_KEY_CHARACTERS = 8;

/** Shortens an API key for output; a short key is hidden completely. */
export function hideKey(key: string): string {
  const shown = Math.min(SHOWN_KEY_CHARACTERS, Math.max(0, key.length - HIDDEN_KEY_CHARACTERS));
  return `${key.slice(0, shown)}…`;
}

/** Checks a configuration; returns its findings in the order of its sections. */
export function checkConfiguration(configuration: RoutingConfiguration): Finding[] {
  const { routes, services, accounts, limits } = configuration;
  const index = createRouteIndex(routes);
  const routed = new Set(routes.flatMap(({ targets }) => targets.map(({ service }) => service)));
  return [
    ...routes.flatMap((route) =>
      describeFindings(`route "${route.name}"`, [
        checkReach(route, index),
        ...route.targets
          .filter(({ service }) => !services.has(service))
          .map(({ service }) => `its service "${service}" is missing`),
        ...checkRouteLimits(route),
      ]),
    ),
    ...[...services.keys()].flatMap((name) =>
      describeFindings(`service "${name}"`, [!routed.has(name) && 'no route names it']),
    ),
    ...describeFindings('accounts', [
      accounts?.length === 0 &&
        'none is left: every route that is not anonymous refuses all requests',
    ]),
    ...(accounts ?? []).flatMap((account) =>
      describeFindings(`account "${account.name}"`, checkAccount(account)),
    ),
    ...checkSharedKeys(accounts ?? []),
    ...describeFindings('limits', checkCallerLimits(limits, configuration)),
  ];
}

function describeFindings(subject: string, texts: (string | false | undefined)[]): Finding[] {
  return texts.filter((text) => typeof text === 'string').map((text) => ({ subject, text }));
}

/** Looks the route up as a request for its own prefix would be. */
function checkReach(route: GatewayRoute, index: RouteIndex): string | undefined {
  const found = index.find(route.host, route.prefix);
  if (found === route) return undefined;
  if (found?.host === route.host && found.prefix === route.prefix) {
    return `never matches: route "${found.name}" has the same host and prefix and comes later`;
  }
  const { host, prefix } = route;
  const isPrefixWrong = !prefix.startsWith('/') || !prefix.endsWith('/') || prefix.includes('?');
  return isPrefixWrong
    ? `never matches: its prefix "${prefix}" does not begin and end with a slash, or has a query`
    : `never matches: its host "${host}" has a port, which is not compared`;
}

function checkRouteLimits(route: GatewayRoute): (string | false)[] {
  const { timeoutMs, objectiveMs, attempts, repeat } = route;
  return [
    timeoutMs < objectiveMs &&
      `time limit ${timeoutMs} ms is below its latency objective ${objectiveMs} ms`,
    repeat === Repeat.Never &&
      attempts > 1 &&
      `${attempts} attempts, but this kind of route repeats only what was not run`,
  ];
}

function checkAccount({ keys, limit }: GatewayAccount): (string | false | undefined)[] {
  return [
    keys.length === 0 && 'has no key, so no request can belong to it',
    limit && checkBurst(limit),
  ];
}

function checkBurst(limit: AccountLimit): string | undefined {
  const units = countUnits(limit);
  if (limit.burst >= units) return undefined;
  return limit.unit === LimitUnit.Tokens
    ? `burst ${limit.burst} is below the ${units} tokens of a request that states no tokens`
    : `burst ${limit.burst} is below one request`;
}

/** Reports keys of several accounts; the last account has such a key. */
function checkSharedKeys(accounts: readonly GatewayAccount[]): Finding[] {
  const owners = new Map<string, string>();
  const findings: Finding[] = [];
  for (const { name, keys } of accounts) {
    for (const key of keys) {
      const owner = owners.get(key);
      if (owner !== undefined && owner !== name) {
        const text = `its key ${hideKey(key)} belongs to account "${name}", which comes later`;
        findings.push({ subject: `account "${owner}"`, text });
      }
      owners.set(key, name);
    }
  }
  return findings;
}

function checkCallerLimits(
  { headerBytes, headerMs, idleMs }: CallerLimits,
  { routes }: RoutingConfiguration,
): (string | false)[] {
  // The least headers are a `host` line, which every request of HTTP/1.1 must have.
  const leastBytes = routes.map(({ host }) => 'host'.length + host.length);
  const tooLong = leastBytes.filter(
    (bytes) => bytes + HEADER_LINE_OVERHEAD_BYTES > headerBytes,
  ).length;
  return [
    tooLong > 0 &&
      `${headerBytes} header bytes are below the host line of ${tooLong} of ${routes.length} routes`,
    idleMs < headerMs && `idle timeout ${idleMs} ms is below the header timeout ${headerMs} ms`,
  ];
}
