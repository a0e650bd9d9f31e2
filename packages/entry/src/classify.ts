/**
 * Derives the work description and the backend call of a caller's request: target, size, tier,
 * deadline, and whether the call may be repeated. Headers and bodies are validated here, before
 * any of their values reaches an agent.
 */
import { createHash } from 'node:crypto';
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import type {
  BackendCall,
  IdempotencyReference,
  WorkDescription,
} from '@masticbend/protocol/call-message';
import { CHAT_PATH } from '@masticbend/protocol/message';
import type { LengthEstimate } from '@masticbend/scheduling/output-length';
import type { Configuration } from '@masticbend/settings/configuration';
import type { ClientAccount } from './accounts.js';
import { parseChat } from './chat.js';
import { hashPrefix } from './prefix.js';
import { findOwnValue, type Route } from './route.js';

/** Average size of a prompt token. */
const BYTES_PER_TOKEN = 4;
/** Expected output tokens of a work class that has neither a setting nor recorded lengths. */
const DEFAULT_OUTPUT_TOKENS = 128;
/** Ratio of the high quantile to the expected output tokens until lengths have been recorded. */
const HIGH_QUANTILE_FACTOR = 2;
/** Longest deadline a caller may request. */
const MAX_DEADLINE_MS = 3_600_000;
const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,255}$/;
const CONTENT_TYPE = /^[\x20-\x7e]{1,255}$/;

/** A caller's request with its complete body. */
export interface CallerRequest {
  id: string;
  method: string;
  path: string;
  headers: Record<string, string | undefined>;
  body: Buffer;
}

/** Work description and backend call of a request, or the reason for its refusal. */
export type Classification =
  { ok: true; work: WorkDescription; call: BackendCall } | { ok: false; failure: Failure };

/** Returns the output length estimate of a work class, or undefined while there is none. */
export type LengthLookup = (work: string) => LengthEstimate | undefined;

interface Urgency {
  tier: number;
  deadlineMs: number;
}

/** Classifies a request of an account. */
export function classifyRequest(
  configuration: Configuration,
  clientAccount: ClientAccount,
  route: Extract<Route, { kind: 'chat' | 'service' }>,
  request: CallerRequest,
  findLength: LengthLookup,
): Classification {
  const key = request.headers['idempotency-key'];
  if (key !== undefined && !IDEMPOTENCY_KEY.test(key)) {
    return refuse(ErrorKind.InvalidRequest, 'Idempotency-Key: 1 to 255 printable characters.');
  }
  return route.kind === 'chat'
    ? classifyChat(configuration, clientAccount, request, findLength)
    : classifyService(configuration, clientAccount, route, request);
}

function classifyChat(
  configuration: Configuration,
  clientAccount: ClientAccount,
  request: CallerRequest,
  findLength: LengthLookup,
): Classification {
  const chat = parseChat(request.body);
  if (!chat.ok) return refuse(ErrorKind.InvalidRequest, chat.fault);
  const { model, adapter, maxTokens, prompt, stream } = chat.chat;
  const modelSettings = findOwnValue(configuration.models, model);
  if (!modelSettings || (adapter !== undefined && !modelSettings.adapters.includes(adapter))) {
    return refuse(ErrorKind.NotFound);
  }
  const workClass = request.headers['x-masticbend-work'] ?? model;
  const target = adapter === undefined ? model : `${model}:${adapter}`;
  const urgency = resolveUrgency(configuration, clientAccount, request, workClass, model);
  if (!urgency.ok) return urgency;
  const learnedLength = findLength(workClass);
  const defaultOutputTokens =
    findOwnValue(configuration.work, workClass)?.outputTokens ?? DEFAULT_OUTPUT_TOKENS;
  const maxOutputTokens = Math.min(maxTokens ?? Infinity, modelSettings.contextTokens);
  const work: WorkDescription = {
    ...urgency.urgency,
    account: clientAccount.account,
    target,
    work: workClass,
    promptTokens: Math.ceil(request.body.length / BYTES_PER_TOKEN),
    prefix: hashPrefix(prompt),
    outputTokens: Math.min(maxOutputTokens, learnedLength?.median ?? defaultOutputTokens),
    outputTokensHigh: Math.min(
      maxOutputTokens,
      learnedLength?.high ?? defaultOutputTokens * HIGH_QUANTILE_FACTOR,
    ),
    weight: clientAccount.settings.weight,
    idempotent: true,
  };
  const call: BackendCall = {
    method: request.method,
    path: CHAT_PATH,
    headers: { 'content-type': 'application/json' },
    bodyBytes: request.body.length,
    stream,
    idempotency: createIdempotencyReference(request, clientAccount.account),
  };
  return { ok: true, work, call };
}

function classifyService(
  configuration: Configuration,
  clientAccount: ClientAccount,
  route: Extract<Route, { kind: 'service' }>,
  request: CallerRequest,
): Classification {
  const { name, path, operation } = route;
  const idempotency = createIdempotencyReference(request, clientAccount.account);
  const contentType = request.headers['content-type'] ?? 'application/json';
  if (!CONTENT_TYPE.test(contentType)) return refuse(ErrorKind.InvalidRequest, 'Content-Type.');
  const workClass = operation.work ?? name;
  const urgency = resolveUrgency(configuration, clientAccount, request, workClass, workClass);
  if (!urgency.ok) return urgency;
  const work: WorkDescription = {
    ...urgency.urgency,
    account: clientAccount.account,
    target: name,
    work: workClass,
    promptTokens: 0,
    prefix: [],
    outputTokens: 0,
    outputTokensHigh: 0,
    weight: clientAccount.settings.weight,
    idempotent: operation.idempotent,
  };
  const call: BackendCall = {
    method: request.method,
    path,
    headers: { 'content-type': contentType },
    bodyBytes: request.body.length,
    stream: false,
    idempotency,
  };
  return { ok: true, work, call };
}

/**
 * Resolves tier and deadline from header, work class and account; a tier above the account's own is
 * lowered to it. `defaultWorkClass` needs no entry in the configuration.
 */
function resolveUrgency(
  configuration: Configuration,
  clientAccount: ClientAccount,
  request: CallerRequest,
  workClass: string,
  defaultWorkClass: string,
): { ok: true; urgency: Urgency } | { ok: false; failure: Failure } {
  const workSettings = findOwnValue(configuration.work, workClass);
  if (!workSettings && workClass !== defaultWorkClass) {
    return refuse(ErrorKind.InvalidRequest, 'X-Masticbend-Work: there is no such work.');
  }
  const requestedTierName = request.headers['x-masticbend-tier'];
  const requestedTier = findOwnValue(
    configuration.tiers,
    requestedTierName ?? workSettings?.tier ?? clientAccount.settings.tier,
  );
  if (!requestedTier) {
    return refuse(ErrorKind.InvalidRequest, 'X-Masticbend-Tier: there is no such tier.');
  }
  const accountTier = findOwnValue(configuration.tiers, clientAccount.settings.tier)!;
  const tier = requestedTier.rank > accountTier.rank ? requestedTier : accountTier;
  const deadlineHeader = request.headers['x-masticbend-deadline-ms'];
  const deadlineMs =
    deadlineHeader === undefined
      ? (workSettings?.deadlineMs ?? tier.deadlineMs)
      : Number(deadlineHeader);
  if (!(deadlineMs >= 1 && deadlineMs <= MAX_DEADLINE_MS)) {
    const detail = `X-Masticbend-Deadline-Ms: a number from 1 to ${MAX_DEADLINE_MS}.`;
    return refuse(ErrorKind.InvalidRequest, detail);
  }
  return { ok: true, urgency: { tier: tier.rank, deadlineMs } };
}

function createIdempotencyReference(
  request: CallerRequest,
  account: string,
): IdempotencyReference | undefined {
  const key = request.headers['idempotency-key'];
  if (key === undefined) return undefined;
  const fingerprint = createHash('sha256')
    .update(`${request.method}\n${request.path}\n`)
    .update(request.body)
    .digest('hex');
  return { account, key, fingerprint, attempt: request.id };
}

function refuse(kind: ErrorKind, detail?: string): { ok: false; failure: Failure } {
  return { ok: false, failure: { kind, detail } };
}
