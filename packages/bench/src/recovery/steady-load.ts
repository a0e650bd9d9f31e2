/** A steady mix of lookups, bookings and chats through the balancer that records every answer. */
import { randomBytes } from 'node:crypto';
import { RequestKind, isSuccess, sendTestRequest, type TestRequest } from '../faults/caller.js';
import type { RequestHistory } from '../faults/checks.js';
import { ACCOUNT_KEYS } from '../faults/cluster.js';
import type { Balancer } from './balancer.js';

const KINDS: readonly RequestKind[] = [
  RequestKind.Lookup,
  RequestKind.Booking,
  RequestKind.Lookup,
  RequestKind.Stream,
  RequestKind.Lookup,
  RequestKind.Chat,
];

/** A running load. */
export interface SteadyLoad {
  histories: RequestHistory[];
  /** Ends the load and waits for the outstanding answers. */
  stop: () => Promise<void>;
}

/** Outcomes of the requests answered in one phase. */
export interface LoadSummary {
  answered: number;
  succeeded: number;
  /** Number of failures by the error kind or the status that the caller received. */
  failures: Record<string, number>;
  /** Time from the start of the phase to its last failure, in milliseconds; 0 without one. */
  lastFailureMs: number;
}

/** Starts a load of `ratePerSecond` requests per second. */
export function startSteadyLoad(
  balancer: Balancer,
  ratePerSecond: number,
  createRequest: (index: number) => TestRequest = createMixedRequest,
): SteadyLoad {
  const histories: RequestHistory[] = [];
  const pending: Promise<void>[] = [];
  const loadStartedAt = performance.now();

  async function sendNext(): Promise<void> {
    const testRequest = createRequest(histories.length);
    const history: RequestHistory = {
      testRequest,
      sentAt: performance.now(),
      sendCount: 1,
      answers: [],
    };
    histories.push(history);
    history.answers.push(await sendTestRequest(balancer.chooseAddress(), testRequest));
  }

  const timer = setInterval(() => {
    const due = ((performance.now() - loadStartedAt) * ratePerSecond) / 1_000;
    while (histories.length < due) pending.push(sendNext());
  }, 5);
  return {
    histories,
    async stop() {
      clearInterval(timer);
      await Promise.all(pending);
    },
  };
}

/** Summarizes the requests answered in `[from, to)`, so that each counts in exactly one phase. */
export function computeSummary(
  histories: readonly RequestHistory[],
  from: number,
  to: number,
): LoadSummary {
  const answers = histories
    .flatMap((history) => history.answers)
    .filter(({ answeredAt }) => answeredAt >= from && answeredAt < to);
  const failed = answers.filter((answer) => !isSuccess(answer));
  const failures: Record<string, number> = {};
  for (const { error, status } of failed) {
    const failureKind = error?.kind ?? `cut after status ${status}`;
    failures[failureKind] = (failures[failureKind] ?? 0) + 1;
  }
  const lastFailureMs = Math.max(
    0,
    ...failed.map(({ answeredAt }) => Math.round(answeredAt - from)),
  );
  const succeeded = answers.length - failed.length;
  return { answered: answers.length, succeeded, failures, lastFailureMs };
}

function createMixedRequest(index: number): TestRequest {
  const tier = index % 2;
  return {
    kind: KINDS[index % KINDS.length]!,
    marker: `load-${index}-${randomBytes(4).toString('hex')}`,
    apiKey: tier === 0 ? ACCOUNT_KEYS.high : ACCOUNT_KEYS.low,
    tier,
  };
}
