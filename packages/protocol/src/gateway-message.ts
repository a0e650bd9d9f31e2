/** Messages of the gateway: between its entries, and between an entry and a permit agent. */

/** Entry → entry, first message either way. */
export interface PeerHelloMessage {
  kind: 'peer-hello';
  instance: string;
  /** Differs between two processes of the same instance. */
  incarnation: string;
}

/**
 * Entry → entry: what the sender runs and has admitted. Lists go by position; backend servers not
 * named run nothing of it.
 */
export interface PeerReportMessage {
  kind: 'peer-report';
  servers: string[];
  running: number[];
  accounts: string[];
  /** Units admitted since the sender's start, by account. */
  units: number[];
}

/** Entry → agent, first message: the server it wants permits for, and what it runs there. */
export interface PermitHelloMessage {
  kind: 'permit-hello';
  instance: string;
  server: string;
  /** Requests the backend server runs together. */
  slots: number;
  /** Requests of the entry that run there already. */
  running: string[];
}

/** Entry → agent: asks to send one request to the backend server. */
export interface PermitRequestMessage {
  kind: 'permit-request';
  request: string;
  account: string;
  /** Order of service, from 0. */
  rank: number;
  tokens: number;
  /** Time the request will hold its permit, in milliseconds. */
  holdMs: number;
  /** Longest useful wait, in milliseconds. */
  waitMs: number;
  /** Agents that are asked for this request at once. */
  agents: number;
}

/** Agent → entry: the request may be sent now. */
export interface PermitMessage {
  kind: 'permit';
  request: string;
  held: number;
  /** Expected wait of a request by rank, in milliseconds; further ranks wait like the last. */
  waitsMs: readonly number[];
}

/** Agent → entry: the request would wait too long, or has. */
export interface PermitRefusalMessage {
  kind: 'permit-refusal';
  request: string;
  /** Wait that was expected, in milliseconds. */
  waitMs: number;
  held: number;
  waitsMs: readonly number[];
}

/** Entry → agent: the request ended, or is no longer wanted here. */
export interface PermitReleaseMessage {
  kind: 'permit-release';
  request: string;
}

/** Agent → entry, at intervals. */
export interface PermitReportMessage {
  kind: 'permit-report';
  held: number;
  waitsMs: readonly number[];
}
