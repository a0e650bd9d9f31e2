/**
 * Reservations and claims of the entries connected to this agent. An owner, which is one entry's
 * connection, can change only its own requests. Duplicate reservations are ignored, and every
 * reservation is refused while the agent is leaving.
 */
import type { Clock } from '@masticbend/kernel/clock';
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import type {
  CancelMessage,
  DenyMessage,
  GrantMessage,
  ReserveMessage,
  WorkDescription,
} from '@masticbend/protocol/call-message';
import type { LoadReport, Message } from '@masticbend/protocol/message';
import type { AgentScheduler } from '@masticbend/scheduling/agent-scheduler';
import type { Refusal } from '@masticbend/scheduling/reservation';

/** Reason for which an agent accepts no new work. */
export const LeavingReason = {
  /** The process is shutting down. */
  Stopping: 'stopping',
  /** The platform lists this instance as leaving. */
  Listed: 'listed',
  /** The configuration marks the backend server as draining. */
  Draining: 'draining',
  /** The configuration no longer has the backend server. */
  Removed: 'removed',
} as const;
export type LeavingReason = (typeof LeavingReason)[keyof typeof LeavingReason];

/** A reservation whose claim was granted. */
export interface GrantedReservation {
  work: WorkDescription;
  /** Time on the agent's clock from which the answer is too late. */
  deadlineAt: number;
}

/** Reservations of one agent, by owner. */
export interface Reservations {
  reserve: (owner: string, message: ReserveMessage) => void;
  cancel: (owner: string, message: CancelMessage) => void;
  deny: (owner: string, message: DenyMessage) => void;
  /**
   * Accepts the grant of a claim. Returns undefined, and the call must not start, when the claim
   * has expired or is not the latest one sent to this owner for the request.
   */
  grant: (owner: string, message: GrantMessage) => GrantedReservation | undefined;
  /** Removes the reservations of an owner whose connection is closed. */
  dropOwner: (owner: string) => void;
  /** Sends claims while the backend server has free capacity. */
  sendClaims: () => void;
  /** Withdraws expired claims and refuses expired reservations. */
  expire: () => void;
  /** Refuses every reservation that is waiting or claimed. */
  refuseAll: (failure: Failure) => void;
  /**
   * Adds or removes a reason to accept no new work, and refuses all open reservations if any reason
   * remains.
   */
  setLeaving: (reason: LeavingReason, leaving: boolean) => void;
  listLeavingReasons: () => LeavingReason[];
  /** Returns whether a reservation for this model or service, or an adapter of it, is open. */
  hasTarget: (target: string) => boolean;
  report: () => LoadReport;
}

interface OwnedReservation extends GrantedReservation {
  owner: string;
  /** Number of the latest claim sent. */
  claim?: number;
}

/** Creates an empty set of reservations. `send` returns false when the owner is disconnected. */
export function createReservations(
  clock: Clock,
  scheduler: AgentScheduler,
  send: (owner: string, message: Message) => boolean,
): Reservations {
  const openReservations = new Map<string, OwnedReservation>();
  const leavingReasons = new Set<LeavingReason>();
  const lowestTier = scheduler.report(clock.now()).waiting.length - 1;

  function sendRefusals(refusals: Refusal[]): void {
    for (const { reservation, failure } of refusals) {
      refuse(reservation.owner, reservation.request, failure);
    }
  }

  function refuse(owner: string, request: string, failure: Failure): void {
    if (openReservations.get(request)?.owner === owner) openReservations.delete(request);
    send(owner, { kind: 'refused', request, failure });
  }

  function isOwnedBy(owner: string, request: string): boolean {
    return openReservations.get(request)?.owner === owner;
  }

  function reserve(owner: string, message: ReserveMessage): void {
    const { request, displace } = message;
    if (leavingReasons.size > 0) {
      refuse(owner, request, { kind: ErrorKind.Stopping });
      return;
    }
    if (openReservations.has(request)) {
      if (!isOwnedBy(owner, request)) refuse(owner, request, { kind: ErrorKind.InvalidRequest });
      return;
    }
    const now = clock.now();
    const work = { ...message.work, tier: Math.min(message.work.tier, lowestTier) };
    openReservations.set(request, { owner, work, deadlineAt: now + work.deadlineMs });
    const result = scheduler.reserve(now, owner, request, work, displace);
    sendRefusals(result.refusals);
    if (!result.queued) return;
    const { startDelayMs, cachedTokens } = result;
    send(owner, { kind: 'queued', request, startDelayMs, cachedTokens });
  }

  function grant(owner: string, message: GrantMessage): GrantedReservation | undefined {
    const { request, claim } = message;
    const reservation = openReservations.get(request);
    if (reservation?.owner !== owner || reservation.claim !== claim) return undefined;
    openReservations.delete(request);
    if (scheduler.grant(clock.now(), request, claim, message.call.stream)) return reservation;
    scheduler.cancel(clock.now(), request);
    return undefined;
  }

  function sendClaims(): void {
    for (;;) {
      const now = clock.now();
      const claim = leavingReasons.size > 0 ? undefined : scheduler.claimNext(now);
      if (!claim) return;
      const { request, owner } = claim.reservation;
      const validMs = claim.expiresAt - now;
      const reservation = openReservations.get(request);
      if (reservation) reservation.claim = claim.claim;
      if (!send(owner, { kind: 'claim', request, claim: claim.claim, validMs })) {
        scheduler.deny(now, request, claim.claim);
        openReservations.delete(request);
      }
    }
  }

  function refuseAll(failure: Failure): void {
    for (const [request, { owner }] of [...openReservations]) {
      scheduler.cancel(clock.now(), request);
      refuse(owner, request, failure);
    }
  }

  return {
    reserve,
    cancel(owner, { request }) {
      if (!isOwnedBy(owner, request)) return;
      openReservations.delete(request);
      scheduler.cancel(clock.now(), request);
    },
    deny(owner, { request, claim }) {
      if (!isOwnedBy(owner, request) || openReservations.get(request)?.claim !== claim) return;
      openReservations.delete(request);
      scheduler.deny(clock.now(), request, claim);
    },
    grant,
    dropOwner(owner) {
      for (const [request, reservation] of openReservations) {
        if (reservation.owner === owner) openReservations.delete(request);
      }
      scheduler.dropOwner(clock.now(), owner);
    },
    sendClaims,
    expire: () => sendRefusals(scheduler.expire(clock.now())),
    refuseAll,
    setLeaving(reason, leaving) {
      if (leaving) leavingReasons.add(reason);
      else leavingReasons.delete(reason);
      if (leavingReasons.size > 0) refuseAll({ kind: ErrorKind.Stopping });
    },
    listLeavingReasons: () => [...leavingReasons],
    hasTarget: (target) =>
      [...openReservations.values()].some(({ work }) => isTarget(work.target, target)),
    report: () => ({ ...scheduler.report(clock.now()), leaving: leavingReasons.size > 0 }),
  };
}

/** Returns whether `target` is the model or service `name`, or one of its adapters. */
export function isTarget(target: string, name: string): boolean {
  return target === name || target.startsWith(`${name}:`);
}
