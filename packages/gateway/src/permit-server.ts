/**
 * Server side of the permit protocol: counts the requests that all entries send to this agent's
 * backend server. The requests themselves do not pass through the agent, so that its failure
 * interrupts no answer.
 */
import { createServer, type Server, type Socket } from 'node:net';
import type { Clock } from '@masticbend/kernel/clock';
import type { ConnectionBounds } from '@masticbend/kernel/connection-bounds';
import { renderGauge } from '@masticbend/kernel/gauge';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import { Metric } from '@masticbend/kernel/metrics';
import { createConnection, type Connection } from '@masticbend/protocol/connection';
import type { PermitHelloMessage } from '@masticbend/protocol/gateway-message';
import type { Message } from '@masticbend/protocol/message';
import { createPermitQueue, type PermitAnswer } from '@masticbend/scheduling/permit-queue';
import { createPrefillTimes } from '@masticbend/scheduling/prefill-times';
import { createPace, PaceReason } from '@masticbend/scheduling/server-pace';
import type { AgentLoad } from '@masticbend/scheduling/server-candidate';
import { startServer } from './network.js';

/** Interval at which permit requests that have waited too long are refused. */
const EXPIRY_CHECK_INTERVAL_MS = 10;
/**
 * Interval of load reports; answers to permit requests carry the load as well. To entries without
 * waiting requests it grows with the number of entries, so that the reports of all agents do not
 * grow with entries times engines.
 */
const REPORT_INTERVAL_MS = 200;
const ENTRY_INTERVAL_MS = 12;
/** Shortest time between two reports outside the interval, which tell that no rank is closed. */
const REOPENED_INTERVAL_MS = 100;

/** Dependencies of the server. */
export interface PermitServerOptions {
  /** Mesh address as `IP:port`. */
  address: string;
  clock: Clock;
  log: Logger;
  /** Bounds of the connections of the agent. */
  bounds?: ConnectionBounds;
  /** The backend server has a pace after its start and after failures. */
  isPaced?: boolean;
  /** Prompts start as the pause objectives of the running streams allow. */
  hasSteadyStreams?: boolean;
  /** Requests of ranks that get no slots are refused on arrival. */
  refusesEarly?: boolean;
}

/** Permit server of one agent. */
export interface PermitServer {
  start: () => Promise<void>;
  stop: () => void;
  /** Gauges in the text exposition format. */
  renderMetrics: () => string;
  dump: () => unknown;
}

/** Returns a server that is not listening yet. */
export function createPermitServer(options: PermitServerOptions): PermitServer {
  const { address, clock, log, refusesEarly = false } = options;
  const pace = options.isPaced ? createPace({ slots: 0, onChange: writePaceChanged }) : undefined;
  const prefillTimes = options.hasSteadyStreams ? createPrefillTimes() : undefined;
  const queue = createPermitQueue({ pace, prefillTimes, refusesEarly });
  /** Requests that the present incarnation is known to run at once, by entry. */
  const proven = new Map<string, number>();
  const owners = new Map<string, Connection>();
  let lastFullReportAt = -Infinity;
  let lastReopenedAt = -Infinity;
  let wasClosed = false;
  /** The newest incarnation of the backend server that an entry reported. */
  const backend = { bornAt: 0, isLeaving: false };
  let server: Server | undefined;
  let stopExpiryTimer: (() => void) | undefined;
  let stopReportTimer = () => {};

  function writePaceChanged(limit: number, reason: PaceReason): void {
    log.info(LogEvent.PaceChanged, { limit, reason });
  }

  function openConnection(socket: Socket): void {
    let owner: string | undefined;
    const { bounds } = options;
    const accepted = bounds && { bounds, isKnown: () => owner !== undefined };
    const connection = createConnection(
      socket,
      clock,
      {
        onMessage(message) {
          if (message.kind === 'permit-hello') {
            owner = message.instance;
            addOwner(owner, connection, message);
          } else if (owner !== undefined) {
            sendAnswers(handleMessage(owner, message));
            reportReopened();
          }
        },
        onClose(reason) {
          if (owner === undefined || owners.get(owner) !== connection) return;
          owners.delete(owner);
          log.info(LogEvent.ConnectionClosed, { peer: owner, reason });
          sendAnswers(queue.dropOwner(clock.now(), owner));
        },
      },
      accepted,
    );
  }

  function addOwner(
    owner: string,
    connection: Connection,
    { bornAt, leaving, slots, running, proven: provenAtOnce = 0 }: PermitHelloMessage,
  ): void {
    const previous = owners.get(owner);
    owners.set(owner, connection);
    previous?.close('replaced');
    const now = clock.now();
    queue.setSlots(slots);
    const answers = queue.dropOwner(now, owner);
    queue.addRunning(now, owner, running);
    log.info(LogEvent.ConnectionOpened, { peer: owner, slots, running: running.length });
    sendAnswers(answers);
    const isCurrent = bornAt >= backend.bornAt;
    recordIncarnation(bornAt, leaving);
    // After a restart of the agent alone, the entries know what the server already runs.
    if (isCurrent) proven.set(owner, Math.max(running.length, provenAtOnce));
    pace?.raise([...proven.values()].reduce((sum, count) => sum + count, 0));
    connection.send(createReport(computeIntervalMs()));
  }

  /** Refuses what waits for a backend server that leaves; a later incarnation starts afresh. */
  function recordIncarnation(bornAt: number, isLeaving: boolean): void {
    if (bornAt < backend.bornAt) return;
    const wasLeaving = backend.isLeaving && bornAt === backend.bornAt;
    if (bornAt > backend.bornAt) {
      proven.clear();
      prefillTimes?.restart();
      if (backend.bornAt > 0) pace?.restart(clock.now(), PaceReason.Started);
    }
    backend.bornAt = bornAt;
    backend.isLeaving = wasLeaving || isLeaving;
    if (!backend.isLeaving || wasLeaving) return;
    const answers = queue.clear();
    log.info(LogEvent.LeavingChanged, { born: bornAt, leaving: true, refused: answers.length });
    sendAnswers(answers);
  }

  function handleMessage(owner: string, message: Message): PermitAnswer[] {
    const now = clock.now();
    if (message.kind === 'permit-leaving') {
      recordIncarnation(message.bornAt, true);
      return [];
    }
    if (message.kind === 'permit-request') {
      if (backend.isLeaving) return [{ owner, request: message.request, refusedWaitMs: 0 }];
      const answers = queue.request(now, owner, message);
      scheduleExpiry();
      return answers;
    }
    if (message.kind === 'permit-started') {
      return queue.recordFirstOutput(now, owner, message.request);
    }
    if (message.kind === 'permit-release') {
      return queue.release(now, owner, message.request, message.outcome, message.placed);
    }
    return [];
  }

  function sendAnswers(answers: readonly PermitAnswer[]): void {
    if (answers.length === 0) return;
    const load = describeLoad();
    for (const { owner, request, refusedWaitMs } of answers) {
      const message: Message =
        refusedWaitMs === undefined
          ? { kind: 'permit', request, ...load }
          : {
              kind: 'permit-refusal',
              request,
              ...load,
              waitMs: refusedWaitMs,
              leaving: backend.isLeaving,
            };
      owners.get(owner)?.send(message);
      log.debug(LogEvent.PermitAnswered, { request, owner, refusedWaitMs, held: load.held });
    }
  }

  function describeLoad(): AgentLoad & { closedRank?: number; closedPlaced?: number } {
    const now = clock.now();
    const { held, pendingTokens, heldTokens, prefillMs, waitsMs } = queue.report(now);
    const closed = queue.findClosedRank();
    return {
      // Entries take slots that the pace withholds for occupied ones.
      held: held + queue.countWithheld(now),
      pendingTokens,
      heldTokens,
      waitsMs,
      ...(prefillMs !== undefined && { prefillMs }),
      ...(closed && { closedRank: closed.rank, closedPlaced: closed.placed }),
    };
  }

  /** Entries send nothing to closed ranks, so that slots would stay free until the next report. */
  function reportReopened(): void {
    if (!refusesEarly) return;
    const isReopened = wasClosed && !queue.findClosedRank();
    const now = clock.now();
    if (isReopened && now - lastReopenedAt < REOPENED_INTERVAL_MS) return;
    wasClosed = queue.findClosedRank() !== undefined;
    if (!isReopened) return;
    lastReopenedAt = now;
    const report = createReport(computeIntervalMs());
    for (const connection of owners.values()) connection.send(report);
  }

  /** Interval of reports to entries without waiting requests. */
  function computeIntervalMs(): number {
    return Math.max(REPORT_INTERVAL_MS, owners.size * ENTRY_INTERVAL_MS);
  }

  function createReport(intervalMs: number): Message {
    return { kind: 'permit-report', ...describeLoad(), intervalMs };
  }

  /** Runs the check only while requests are waiting, since each timer wake-up costs CPU time. */
  function scheduleExpiry(): void {
    if (stopExpiryTimer || queue.countWaiting() === 0) return;
    stopExpiryTimer = clock.startTimer(EXPIRY_CHECK_INTERVAL_MS, () => {
      stopExpiryTimer = undefined;
      sendAnswers(queue.expire(clock.now()));
      scheduleExpiry();
    });
  }

  function sendReports(): void {
    const now = clock.now();
    const intervalMs = computeIntervalMs();
    // Timers fire a little early or late; half a round is the nearest one.
    const isFull = now - lastFullReportAt >= intervalMs - REPORT_INTERVAL_MS / 2;
    if (isFull) lastFullReportAt = now;
    const report = createReport(intervalMs);
    for (const [owner, connection] of owners) {
      if (isFull || queue.hasWaiting(owner)) connection.send(report);
    }
    stopReportTimer = clock.startTimer(REPORT_INTERVAL_MS, sendReports);
  }

  return {
    start() {
      server = createServer({ noDelay: true }, openConnection);
      sendReports();
      return startServer(server, address);
    },
    stop() {
      stopExpiryTimer?.();
      stopReportTimer();
      server?.close();
      for (const connection of owners.values()) connection.close('stopping');
    },
    renderMetrics() {
      const { held, waiting, waitsMs } = queue.report();
      const gauges = {
        masticbend_permits_held: held,
        masticbend_permits_waiting: waiting,
        masticbend_permits_wait_ms: waitsMs.at(-1) ?? 0,
        masticbend_connected_entries: owners.size,
        ...(pace && { [Metric.ServerPace]: pace.getLimit() }),
        ...(prefillTimes && { [Metric.Prefill]: prefillTimes.getPrefillMs() ?? -1 }),
        ...(refusesEarly && { [Metric.ClosedRanks]: queue.countClosedRanks() }),
      };
      return Object.entries(gauges)
        .map(([name, value]) => renderGauge(name, value))
        .join('');
    },
    dump: () => ({ ...queue.report(), owners: owners.size }),
  };
}
