/**
 * The HTTP server for callers: checks account, path and announced size of each request before it
 * reads the body, places the work and writes exactly one final answer. Requests that are malformed
 * or exceed a limit of size or time are refused with a specific error.
 */
import { randomBytes } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { waitForReads } from '@masticbend/kernel/event-loop';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import type { Configuration } from '@masticbend/settings/configuration';
import type { AccountLimits } from './account-limits.js';
import { createAccountFinder, type ClientAccount } from './accounts.js';
import { createStreamSink, createBufferedSink } from './caller-sink.js';
import { classifyRequest, type CallerRequest, type LengthLookup } from './classify.js';
import { closeWithFailure, dropBody, sendFailure } from './failure-answer.js';
import { readBody } from './read-body.js';
import type { Requests } from './requests.js';
import { findRoute, type Route } from './route.js';

const REQUEST_ID_BYTES = 12;
/** Maximum concurrent connections of callers. */
export const MAX_CALLER_CONNECTIONS = 4_096;
/** Maximum header bytes the HTTP parser reads, independent of the configured limit. */
const MAX_PARSED_HEADER_BYTES = 64 * 1024;
/** Maximum length of a path including its query. */
const MAX_PATH_CHARACTERS = 4_096;
/** Characters of a header line besides name and value: colon, space and CR LF. */
const HEADER_LINE_OVERHEAD_CHARACTERS = 4;

/** Timeouts of callers' connections. */
export interface CallerTimeouts {
  /** From the first byte of a request to the end of its headers. */
  headersMs: number;
  /** From the first byte of a request to the end of its body. */
  requestMs: number;
  /** Between two requests on one connection. */
  idleMs: number;
  /** Interval at which the timeouts are checked. */
  checkIntervalMs: number;
}

/** Timeouts in use. */
export const CALLER_TIMEOUTS: CallerTimeouts = {
  headersMs: 10_000,
  requestMs: 60_000,
  idleMs: 65_000,
  checkIntervalMs: 2_000,
};

/** Dependencies of the caller server. */
export interface CallerServerOptions {
  log: Logger;
  requests: Requests;
  timeouts: CallerTimeouts;
  getConfiguration: () => Configuration | undefined;
  findLength: LengthLookup;
  limits: Pick<AccountLimits, 'admit' | 'finish'>;
  /** Returns whether the entry is stopping; each answer then closes its connection. */
  isStopping: () => boolean;
}

/** The HTTP server and its open requests. */
export interface CallerServer {
  server: Server;
  /** Returns the number of requests received and not yet fully answered. */
  countOpen: () => number;
}

/** A request on a caller's connection; it has an id once the account limits have admitted it. */
interface CallerExchange {
  id?: string;
}

/** Returns a server that is not listening yet. */
export function createCallerServer(options: CallerServerOptions): CallerServer {
  const { log, requests, limits, timeouts, getConfiguration, findLength, isStopping } = options;
  const findAccount = createAccountFinder();
  const openBySocket = new Map<Socket, Set<CallerExchange>>();

  async function handleRequest(
    exchange: CallerExchange,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (isStopping()) response.setHeader('connection', 'close');
    const configuration = getConfiguration();
    if (!configuration) {
      refuse(request, response, { kind: ErrorKind.ConfigurationUnavailable });
      return;
    }
    const fault = checkSizes(configuration, request);
    if (fault) {
      refuse(request, response, fault);
      return;
    }
    const clientAccount = findAccount(configuration, request.headers.authorization);
    if (!clientAccount) {
      refuse(request, response, { kind: ErrorKind.Unauthenticated });
      return;
    }
    const { method = 'GET', url = '/' } = request;
    const result = findRoute(configuration, method, url);
    if (!result.ok) refuse(request, response, result.failure, result.allow);
    else await handleRoute(exchange, configuration, clientAccount, result.route, request, response);
  }

  async function handleRoute(
    exchange: CallerExchange,
    configuration: Configuration,
    clientAccount: ClientAccount,
    route: Route,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (route.kind === 'options') {
      response.writeHead(204, { allow: route.allow }).end();
      dropBody(request);
    } else if (route.kind === 'models') {
      sendModels(configuration, response);
      dropBody(request);
    } else {
      await placeRequest(exchange, configuration, clientAccount, route, request, response);
    }
  }

  async function placeRequest(
    exchange: CallerExchange,
    configuration: Configuration,
    clientAccount: ClientAccount,
    route: Extract<Route, { kind: 'chat' | 'service' }>,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.headers.expect !== undefined) response.writeContinue();
    const body = await readBody(request, configuration.limits.bodyBytes);
    if (!body) {
      refuse(request, response, { kind: ErrorKind.BodyTooLarge });
      return;
    }
    // In a busy process, the caller may have left since it sent the request.
    await waitForReads();
    const caller = createCallerRequest(request, body);
    const result = classifyRequest(configuration, clientAccount, route, caller, findLength);
    if (!result.ok) {
      refuse(request, response, result.failure);
      return;
    }
    if (request.socket.destroyed) return;
    const { work, call } = result;
    const { id } = caller;
    const { account, settings } = clientAccount;
    const tokens = work.promptTokens + work.outputTokens;
    const refusal = limits.admit(id, account, settings, tokens);
    if (refusal) {
      refuse(request, response, refusal);
      return;
    }
    log.debug(LogEvent.RequestAccepted, { request: id, account, tier: work.tier });
    response.setHeader('x-request-id', id);
    exchange.id = id;
    const abort = () => requests.send({ kind: 'abort', id });
    const sinkOptions = { response, maxBytes: configuration.limits.streamBytes, abort };
    const sink = call.stream ? createStreamSink(sinkOptions) : createBufferedSink(sinkOptions);
    if (requests.send({ kind: 'place', request: { id, work, call, body, sink } })) return;
    limits.finish(id, 0);
    refuse(request, response, { kind: ErrorKind.Overloaded });
  }

  function refuse(
    request: IncomingMessage,
    response: ServerResponse,
    failure: Failure,
    allow?: string,
  ): void {
    log.info(LogEvent.RequestRefused, { error: failure.kind });
    sendFailure(response, failure, allow);
    dropBody(request);
  }

  function acceptRequest(request: IncomingMessage, response: ServerResponse): void {
    const exchange: CallerExchange = {};
    const open = openBySocket.get(request.socket);
    open?.add(exchange);
    response.once('finish', () => open?.delete(exchange));
    response.on('error', () => undefined);
    handleRequest(exchange, request, response).catch((error: Error) => {
      if (request.socket.destroyed) return;
      log.error(LogEvent.RequestFailed, { error: error.message });
      sendFailure(response, { kind: ErrorKind.Internal });
    });
  }

  function acceptSocket(socket: Socket): void {
    const open = new Set<CallerExchange>();
    openBySocket.set(socket, open);
    socket.once('close', () => {
      openBySocket.delete(socket);
      for (const { id } of open) if (id !== undefined) requests.send({ kind: 'abort', id });
    });
  }

  const server = createServer(
    {
      maxHeaderSize: MAX_PARSED_HEADER_BYTES,
      headersTimeout: timeouts.headersMs,
      requestTimeout: timeouts.requestMs,
      keepAliveTimeout: timeouts.idleMs,
      connectionsCheckingInterval: timeouts.checkIntervalMs,
    },
    acceptRequest,
  );
  server.maxConnections = MAX_CALLER_CONNECTIONS;
  server.on('checkContinue', acceptRequest);
  server.on('connection', acceptSocket);
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    if ((openBySocket.get(socket)?.size ?? 0) > 0) socket.destroy();
    else closeWithFailure(socket, createParserFailure(error.code));
  });
  const countOpen = () => [...openBySocket.values()].reduce((sum, open) => sum + open.size, 0);
  return { server, countOpen };
}

function sendModels(configuration: Configuration, response: ServerResponse): void {
  const names = Object.entries(configuration.models).flatMap(([name, { adapters }]) => [
    name,
    ...adapters.map((adapter) => `${name}:${adapter}`),
  ]);
  const data = names.map((id) => ({ id, object: 'model', created: 0, owned_by: 'masticbend' }));
  const text = JSON.stringify({ object: 'list', data });
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(text)),
  });
  response.end(text);
}

/** Checks the size of the headers, the path and the announced body of a request. */
function checkSizes(configuration: Configuration, request: IncomingMessage): Failure | undefined {
  const { headerBytes, bodyBytes } = configuration.limits;
  const characters = request.rawHeaders.reduce((sum, text) => sum + text.length, 0);
  const lines = request.rawHeaders.length / 2;
  if (characters + lines * HEADER_LINE_OVERHEAD_CHARACTERS > headerBytes) {
    return { kind: ErrorKind.HeadersTooLarge };
  }
  if ((request.url ?? '').length > MAX_PATH_CHARACTERS) {
    return { kind: ErrorKind.HeadersTooLarge, detail: 'The path is too long.' };
  }
  if (Number(request.headers['content-length'] ?? 0) > bodyBytes) {
    return { kind: ErrorKind.BodyTooLarge };
  }
  return undefined;
}

function createParserFailure(code: string | undefined): Failure {
  if (code === 'HPE_HEADER_OVERFLOW') return { kind: ErrorKind.HeadersTooLarge };
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    return { kind: ErrorKind.InvalidRequest, detail: 'It did not arrive in time.' };
  }
  return { kind: ErrorKind.InvalidRequest, detail: 'It is not HTTP.' };
}

function createCallerRequest(request: IncomingMessage, body: Buffer): CallerRequest {
  const headers: Record<string, string | undefined> = {};
  for (const [name, value] of Object.entries(request.headers)) {
    headers[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  const id = randomBytes(REQUEST_ID_BYTES).toString('hex');
  return { id, method: request.method ?? 'GET', path: request.url ?? '/', headers, body };
}
