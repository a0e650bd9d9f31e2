/** Interface between the simulation and the policies that it measures. */
import type { EngineModel } from './engine-model.js';
import type { EventQueue } from './event-queue.js';
import type { Arrival, Deployment, DrawRandom } from './workload.js';

/** Interval between two load reports of one backend server. */
export const LOAD_REPORT_INTERVAL_MS = 250;

/** The simulated environment of a policy. */
export interface PolicyContext {
  events: EventQueue;
  deployment: Deployment;
  engines: EngineModel[];
  random: DrawRandom;
  /** One-way delay between an entry and a backend server's instance, in milliseconds. */
  linkDelayMs: (entry: number, server: number) => number;
  /** Delay of load reports in addition to the link delay, in milliseconds. */
  reportLagMs: number;
  /** The complete answer reached the entry. */
  onAnswer: (arrival: Arrival, computedTokens: number) => void;
  /** The request was refused or lost, or its deadline passed. */
  onRefusal: (arrival: Arrival) => void;
}

/** A measured policy. */
export interface Policy {
  /** Handles a request that reaches its entry. */
  offer: (arrival: Arrival) => void;
  /** Stops a backend server's instance at once; its calls and its cache are lost. */
  kill: (server: number) => void;
  /** Starts the backend server again, empty. */
  restart: (server: number) => void;
}

export type CreatePolicy = (context: PolicyContext) => Policy;
