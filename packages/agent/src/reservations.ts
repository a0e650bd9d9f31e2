/**
 * The reservations and claims of the entries connected to this agent. It lets an owner touch only
 * its own requests, ignores duplicates, and refuses everything while the agent is leaving.
 */
import type { Clock } from '@masticbend/kernel/clock';
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import type {
  CancelMessage,
  DenyMessage,
  GrantMessage,
  LoadReport,
  Message,
  ReserveMessage,
  WorkDescription,
} from '@masticbend/protocol/message';
import type { AgentScheduler } from '@masticbend/scheduling/agent-scheduler';
import type { Refusal } from '@masticbend/scheduling/reservation';

/** Why an agent takes no new work. */
export const LeavingReason = {
  /** The process was told to stop. */
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
  /** Moment from which the answer is late. */
  deadlineAt: number;
}

/** Reservations of one agent. */
export interface Reservations {
  reserve: (owner: string, message: ReserveMessage) => void;
  cancel: (owner: string, message: CancelMessage) => void;
  deny: (owner: string, message: DenyMessage) => void;
  /** Returns the reservation, or undefined when the claim lapsed and must not start. */
  grant: (owner: string, message: GrantMessage) => GrantedReservation | undefined;
  dropOwner: (owner: string) => void;
  /** Sends claims while the backend server has room. */
  sendClaims: () => void;
  /** Gives up what is past its time. */
  expire: () => void;
  /** Hands back everything that was not granted. */
  refuseAll: (failure: Failure) => void;
  /** Adds or removes a reason to take no new work; the first one hands everything back. */
  setLeaving: (reason: LeavingReason, leaving: boolean) => void;
  listLeavingReasons: () => LeavingReason[];
  /** Tells whether a reservation for this model or service, or an adapter of it, is open. */
  hasTarget: (target: string) => boolean;
  report: () => LoadReport;
}

interface OwnedReservation extends GrantedReservation {
  owner: string;
  /** Number of the latest claim sent. */
  claim?: number;
}

/** Returns an agent's reservations, empty. */
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
    hasTarget: (target) => [...openReservations.values()].some(({ work }) => isTarget(work.target, target)),
    report: () => ({ ...scheduler.report(clock.now()), leaving: leavingReasons.size > 0 }),
  };
}

/** Tells whether work goes to a model or service, or to an adapter of it. */
export function isTarget(target: string, name: string): boolean {
  return target === name || target.startsWith(`${name}:`);
}
