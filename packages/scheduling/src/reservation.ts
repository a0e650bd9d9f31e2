/**
 * Data types of the scheduling decisions. All functions of this package take the time and any
 * randomness as arguments and perform no input or output.
 */
import type { Failure } from '@masticbend/protocol/error';
import type { WorkDescription } from '@masticbend/protocol/call-message';

/** A request in an agent's queue. Times are on the agent's monotonic clock, in milliseconds. */
export interface Reservation {
  request: string;
  /** Connection on which the reservation arrived. */
  owner: string;
  work: WorkDescription;
  arrivedAt: number;
  /** Time from which the answer is late. */
  deadlineAt: number;
}

/** A reservation removed from the queue, with the failure to report to its owner. */
export interface Refusal {
  reservation: Reservation;
  failure: Failure;
}

/** The offer to run a reservation that the backend server can take now. */
export interface Claim {
  /** Number of the claim, unique on this agent since its start. */
  claim: number;
  reservation: Reservation;
  /** Time from which the claim must not be granted any more. */
  expiresAt: number;
}
