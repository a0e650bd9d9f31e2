/** Requests for permits as the queue of an agent holds them. */
import type { PermitRequestMessage } from '@masticbend/protocol/gateway-message';
import type { QueuedWork } from './queued-work.js';
import { createQueuedWork } from './request-queue.js';

/** An entry's request for a permit. */
export type PermitRequest = Omit<PermitRequestMessage, 'kind'>;

/** A queued request; its cost is divided among all agents that received it. */
export interface QueuedPermitRequest extends QueuedWork {
  /** Time for which it will hold a slot here, in milliseconds. */
  holdMs: number;
  promptTokens: number;
  /** Pause objective of its route, where the entry states it. */
  pauseMs: number | undefined;
  /** Tokens of its prompt and of its longest answer, and those that the server has room for. */
  totalTokens: number;
  memoryTokens: number;
  isRepeatable: boolean;
  /** Wait expected on arrival from the work ahead, in milliseconds. */
  expectedWaitMs: number;
}

/** Returns a request as it waits; `order` is that of arrival. */
export function createPermitWork(
  owner: string,
  permitRequest: PermitRequest,
  now: number,
  order: number,
  expectedWaitMs: number,
): QueuedPermitRequest {
  const { request, account, rank, tokens, promptTokens, holdMs, waitMs, agents } = permitRequest;
  const waiting = {
    id: formatKey(owner, request),
    service: '',
    account,
    rank,
    arrivedAt: now,
    startBy: now + waitMs,
    costMs: holdMs / agents,
    tokens,
  };
  return {
    ...createQueuedWork(waiting, order),
    owner,
    holdMs,
    promptTokens,
    pauseMs: permitRequest.pauseMs,
    totalTokens: tokens,
    memoryTokens: permitRequest.memoryTokens ?? Infinity,
    isRepeatable: permitRequest.repeatable ?? true,
    expectedWaitMs,
  };
}

/** Makes a request id unique, since two entries may use the same one. */
export function formatKey(owner: string, request: string): string {
  return `${owner} ${request}`;
}

/** Returns the id by which the entry knows a request. */
export function getRequestId(work: QueuedWork): string {
  return work.request.slice(work.owner.length + 1);
}
