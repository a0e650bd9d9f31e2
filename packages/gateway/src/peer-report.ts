/**
 * Reports between entries: running requests, usage of the accounts' limits, the version of the
 * configuration and notices of backend servers. Usage is reported as totals since the start, so
 * that a report that is lost with its connection is made up for by the next one.
 */
import type { PeerReportMessage } from '@masticbend/protocol/gateway-message';
import type { SharedNotice } from '@masticbend/scheduling/server-notice';
import type { AccountUsage } from '@masticbend/scheduling/shared-limit';

/** Values of a limit in a report: none any more, and not known. */
const NO_LIMIT = -1;
const UNKNOWN_LIMIT = -2;

const NO_USAGE: AccountUsage = { admitted: 0, asked: 0 };

/** Report of a peer. */
export interface PeerReport {
  /** Running requests by server id. */
  running: ReadonlyMap<string, number>;
  /** Units used since its last report, by account; admitted ones are negative after refunds. */
  usage: ReadonlyMap<string, AccountUsage>;
  /** Version of the configuration in force there; 0 for none. */
  version: number;
  /** Notices of backend servers that the peer received. */
  notices: readonly SharedNotice[];
  /** Demand of the peer by service, in requests a second. */
  demand: ReadonlyMap<string, number>;
}

/** State that an entry reports to its peers. */
export interface OwnState {
  running: ReadonlyMap<string, number>;
  /** Units used since the start, by account. */
  usage: ReadonlyMap<string, AccountUsage>;
  version: number;
  notices: readonly SharedNotice[];
  /** Demand for services with limited servers, in requests a second. */
  demand: ReadonlyMap<string, number>;
}

/** Returns the report of a state. */
export function createReport({
  running,
  usage,
  version,
  notices,
  demand,
}: OwnState): PeerReportMessage {
  return {
    kind: 'peer-report',
    servers: [...running.keys()],
    running: [...running.values()],
    accounts: [...usage.keys()],
    units: [...usage.values()].map(({ admitted }) => admitted),
    askedUnits: [...usage.values()].map(({ asked }) => asked),
    version,
    noticeServers: notices.map(({ server }) => server),
    noticeBornAt: notices.map(({ bornAt }) => bornAt),
    noticeLeaving: notices.map(({ isLeaving }) => isLeaving),
    noticePauseMs: notices.map(({ pauseMs }) => Math.round(pauseMs)),
    noticeLimitPerS: notices.map(({ limitPerS }) => formatLimit(limitPerS)),
    noticeLimitAgeMs: notices.map(({ limitAgeMs }) => Math.round(limitAgeMs)),
    demandServices: [...demand.keys()],
    demandPerS: [...demand.values()],
  };
}

/**
 * Reads a report; `known` are the totals of the reports before, undefined for the first one. The
 * totals that are returned belong to the next call.
 */
export function readReport(
  message: PeerReportMessage,
  known: Map<string, AccountUsage> | undefined,
): { report: PeerReport; totals: Map<string, AccountUsage> } {
  const totals = known ?? new Map<string, AccountUsage>();
  const usage = new Map<string, AccountUsage>();
  message.accounts.forEach((account, index) => {
    const total = { admitted: message.units[index] ?? 0, asked: message.askedUnits[index] ?? 0 };
    // Units that a peer admitted before its first report here came from its own share.
    const previous = known ? (totals.get(account) ?? NO_USAGE) : total;
    usage.set(account, {
      admitted: total.admitted - previous.admitted,
      asked: total.asked - previous.asked,
    });
    totals.set(account, total);
  });
  const { version } = message;
  const running = new Map(message.servers.map((id, index) => [id, message.running[index] ?? 0]));
  const demand = new Map(
    message.demandServices.map((service, index) => [service, message.demandPerS[index] ?? 0]),
  );
  return { report: { running, usage, version, notices: readNotices(message), demand }, totals };
}

function readNotices(message: PeerReportMessage): SharedNotice[] {
  return message.noticeServers.map((id, index) => ({
    server: id,
    bornAt: message.noticeBornAt[index] ?? 0,
    isLeaving: message.noticeLeaving[index] ?? false,
    pauseMs: message.noticePauseMs[index] ?? 0,
    limitPerS: readLimit(message.noticeLimitPerS[index]),
    limitAgeMs: message.noticeLimitAgeMs[index] ?? 0,
  }));
}

function readLimit(value = UNKNOWN_LIMIT): SharedNotice['limitPerS'] {
  if (value >= 0) return value;
  return value === NO_LIMIT ? 'none' : undefined;
}

function formatLimit(limitPerS: SharedNotice['limitPerS']): number {
  return limitPerS === 'none' ? NO_LIMIT : (limitPerS ?? UNKNOWN_LIMIT);
}
