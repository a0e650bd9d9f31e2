/** A queued reservation with its estimated costs. */
import type { Reservation } from './reservation.js';

export interface QueuedWork extends Reservation {
  /** Order of arrival. */
  order: number;
  /** Tokens charged to the account. */
  tokenCost: number;
  /** Backend server time that it needs, in milliseconds. */
  costMs: number;
  /** Latest useful start time. */
  startBy: number;
}
