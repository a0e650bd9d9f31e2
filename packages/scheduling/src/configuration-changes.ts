/** Lists the differences between two configurations, and which of them callers notice first. */
import type {
  CallerLimits,
  GatewayAccount,
  GatewayRoute,
  GatewayService,
  RoutingConfiguration,
} from '@masticbend/settings/routing';
import { hideKey } from './configuration-check.js';

export interface Change {
  /** What it is about, such as `route "orders"`. */
  subject: string;
  kind: 'added' | 'removed' | 'changed';
  /** What changed, such as `timeoutMs 30000 -> 500`; empty for an addition or removal. */
  text: string;
  /** Whether callers notice it: requests that were answered are refused or answered elsewhere. */
  isNoticed: boolean;
}

type Value = string | number | boolean | undefined;
type IsNoticed = (before: Value, after: Value) => boolean;

function isLowered(before: Value, after: Value): boolean {
  return Number(after ?? Infinity) < Number(before ?? Infinity);
}

/** Fields whose change callers notice; the others have no entry. */
const NOTICED_FIELDS: Readonly<Record<string, IsNoticed>> = {
  services: () => true,
  repeat: () => true,
  streamed: () => true,
  unit: (before, after) => before !== undefined && after !== undefined,
  anonymous: (before) => before === true,
  keys: () => true,
  timeoutMs: isLowered,
  attempts: isLowered,
  ratePerSecond: isLowered,
  burst: isLowered,
  connections: isLowered,
  headerBytes: isLowered,
  bodyBytes: isLowered,
  headerMs: isLowered,
  idleMs: isLowered,
};

/** Entries of one section by the name that identifies them to callers, with their fields. */
type Entries = Map<string, Readonly<Record<string, Value>>>;

/** Returns the differences; those that callers notice come first. */
export function listChanges(before: RoutingConfiguration, after: RoutingConfiguration): Change[] {
  const changes = [
    ...compareEntries(describeKeyUse(before), describeKeyUse(after), true),
    ...listKeyChanges(before.accounts ?? [], after.accounts ?? []),
    ...compareEntries(describeRoutes(before.routes), describeRoutes(after.routes), true),
    ...compareEntries(describeServices(before.services), describeServices(after.services), false),
    ...compareEntries(
      describeAccounts(before.accounts ?? []),
      describeAccounts(after.accounts ?? []),
      true,
    ),
    ...compareEntries(describeLimits(before.limits), describeLimits(after.limits), false),
  ];
  return [
    ...changes.filter(({ isNoticed }) => isNoticed),
    ...changes.filter(({ isNoticed }) => !isNoticed),
  ];
}

function compareEntries(before: Entries, after: Entries, isRemovalNoticed: boolean): Change[] {
  const changes: Change[] = [];
  for (const [subject, fields] of before) {
    const fieldsAfter = after.get(subject);
    if (fieldsAfter) changes.push(...compareFields(subject, fields, fieldsAfter));
    else changes.push({ subject, kind: 'removed', text: '', isNoticed: isRemovalNoticed });
  }
  for (const subject of after.keys()) {
    if (!before.has(subject)) changes.push({ subject, kind: 'added', text: '', isNoticed: false });
  }
  return changes;
}

function compareFields(
  subject: string,
  before: Readonly<Record<string, Value>>,
  after: Readonly<Record<string, Value>>,
): Change[] {
  return Object.keys(before)
    .filter((name) => before[name] !== after[name])
    .map((name) => ({
      subject,
      kind: 'changed',
      text: `${name} ${before[name] ?? 'none'} -> ${after[name] ?? 'none'}`,
      isNoticed: NOTICED_FIELDS[name]?.(before[name], after[name]) ?? false,
    }));
}

/** A configuration without accounts opens all routes. */
function describeKeyUse({ accounts }: RoutingConfiguration): Entries {
  return new Map([['routes', { keys: accounts ? 'required' : 'not required' }]]);
}

/** A key belongs to the last account that lists it. */
function listKeyChanges(
  before: readonly GatewayAccount[],
  after: readonly GatewayAccount[],
): Change[] {
  const [ownersBefore, ownersAfter] = [before, after].map(
    (accounts) =>
      new Map(accounts.flatMap(({ name, keys }) => keys.map((key) => [key, name] as const))),
  ) as [Map<string, string>, Map<string, string>];
  const changes: Change[] = [];
  for (const [key, name] of ownersBefore) {
    const owner = ownersAfter.get(key);
    const subject = `key ${hideKey(key)} of account "${name}"`;
    if (owner === undefined) {
      changes.push({ subject, kind: 'removed', text: '', isNoticed: true });
    } else if (owner !== name) {
      changes.push({ subject, kind: 'changed', text: `account -> "${owner}"`, isNoticed: true });
    }
  }
  for (const [key, name] of ownersAfter) {
    if (ownersBefore.has(key)) continue;
    const subject = `key ${hideKey(key)} of account "${name}"`;
    changes.push({ subject, kind: 'added', text: '', isNoticed: false });
  }
  return changes;
}

/** Routes by host and prefix, which callers know them by; the last of several is in force. */
function describeRoutes(routes: readonly GatewayRoute[]): Entries {
  return new Map(
    routes.map((route) => [
      `route ${route.host}${route.prefix}`,
      {
        name: route.name,
        services: route.targets
          .map(({ service, weight }) => `${service}:${weight}`)
          .sort()
          .join(','),
        repeat: route.repeat,
        streamed: route.streamed,
        timeoutMs: route.timeoutMs,
        objectiveMs: route.objectiveMs,
        pauseMs: route.pauseMs,
        attempts: route.attempts,
        tier: route.tier,
        anonymous: route.anonymous,
      },
    ]),
  );
}

function describeServices(services: ReadonlyMap<string, GatewayService>): Entries {
  return new Map(
    [...services.values()].map(({ name, healthPath, connections, engine }) => [
      `service "${name}"`,
      {
        healthPath,
        connections,
        batch: engine?.batch,
        cacheTokens: engine?.cacheTokens,
        tokensPerEvent: engine?.tokensPerEvent,
      },
    ]),
  );
}

function describeAccounts(accounts: readonly GatewayAccount[]): Entries {
  return new Map(
    accounts.map(({ name, tier, limit }) => [
      `account "${name}"`,
      {
        tier,
        unit: limit?.unit,
        ratePerSecond: limit?.ratePerSecond,
        burst: limit?.burst,
        defaultTokens: limit?.defaultTokens,
      },
    ]),
  );
}

function describeLimits({ headerBytes, bodyBytes, headerMs, idleMs }: CallerLimits): Entries {
  const fields = {
    headerBytes,
    bodyBytes,
    headerMs,
    idleMs,
  };
  return new Map([['limits', fields]]);
}
