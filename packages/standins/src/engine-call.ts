/**
 * One chat completion at the engine stand-in: its record, its events and the client that receives
 * them. Events are kept, so that an interrupted stream can be resumed after any of them.
 */
import { createHash } from 'node:crypto';
import type { ServerResponse } from 'node:http';
import { sendJson, type Faults } from './http.js';

/** Faults of an engine, in addition to those of every stand-in. */
export interface EngineFaults extends Faults {
  /** Factor by which the duration of each step is multiplied. */
  slowFactor: number;
  /** Ends each stream cleanly, without its final event, after this many events; -1 for never. */
  truncateAfter: number;
  /** Closes the connection of each stream after this many events; -1 for never. */
  cutAfter: number;
  /** Omits the final `[DONE]` event. */
  omitDone: boolean;
  /** Announces a content length larger than the body in answers that are not streamed. */
  wrongLength: boolean;
}

/** Record of one call at the engine. */
export interface EngineCall {
  /** Value of `x-request-id`; empty if the request has none. */
  id: string;
  /** Short digest of the prompt; every output token carries it. */
  digest: string;
  /** Monotonic time of arrival, in milliseconds. */
  startedAt: number;
  promptTokens: number;
  cachedTokens: number;
  outputTokens: number;
  /** Output tokens generated so far. */
  madeTokens: number;
  /** Prompt tokens prefilled, and those of them whose answer was cancelled or not delivered. */
  computedTokens: number;
  thrownAwayTokens: number;
  /** True once the complete answer is generated. */
  whole: boolean;
  cancelled: boolean;
}

const DIGEST_CHARACTERS = 8;
const DONE_EVENT = 'data: [DONE]\n\n';

/** Returns the digest that identifies the answer to a prompt. */
export function hashPrompt(prompt: string): string {
  return createHash('sha256').update(prompt).digest('hex').slice(0, DIGEST_CHARACTERS);
}

/** Returns the text an engine answers to the `messages` of a request. */
export function createAnswerText(messages: unknown, outputTokens: number): string {
  const digest = hashPrompt(JSON.stringify(messages));
  return Array.from({ length: outputTokens }, (_, index) => createToken(digest, index)).join('');
}

export function createToken(digest: string, index: number): string {
  return `${digest}-${index} `;
}

/** Event output of a streamed call. */
export interface CallOutput {
  /** Sends one event to the client and keeps it. */
  push: (event: unknown) => void;
  /** Sends the final event and ends the response. */
  finish: () => void;
  /** Sends the events after the first `after` ones, and all later events, to a new client. */
  attachClient: (response: ServerResponse, after: number) => void;
  hasClient: () => boolean;
}

/** Returns the output of a streamed call. */
export function createStreamOutput(faults: EngineFaults): CallOutput {
  const events: string[] = [];
  let client: ServerResponse | undefined;

  function write(text: string): void {
    if (!client || client.destroyed || client.writableEnded) return;
    client.write(text);
  }

  function applyFaults(): void {
    if (faults.cutAfter >= 0 && events.length >= faults.cutAfter) client?.destroy();
    if (faults.truncateAfter >= 0 && events.length >= faults.truncateAfter) client?.end();
  }

  return {
    push(event) {
      const text = `data: ${JSON.stringify(event)}\n\n`;
      events.push(text);
      write(text);
      applyFaults();
    },
    finish() {
      if (!faults.omitDone) {
        events.push(DONE_EVENT);
        write(DONE_EVENT);
      }
      if (client && !client.destroyed) client.end();
    },
    attachClient(response, after) {
      client = response;
      response.writeHead(200, { 'content-type': 'text/event-stream' });
      response.flushHeaders();
      for (const text of events.slice(after)) write(text);
      if (events.at(-1) === DONE_EVENT) response.end();
    },
    hasClient: () => client !== undefined && !client.destroyed,
  };
}

/** Sends a buffered answer, one that is not streamed. */
export function sendBufferedAnswer(
  response: ServerResponse,
  faults: EngineFaults,
  answer: unknown,
): void {
  if (!faults.wrongLength) {
    sendJson(response, 200, answer);
    return;
  }
  const body = JSON.stringify(answer);
  const announcedBytes = String(Buffer.byteLength(body) + 1);
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': announcedBytes });
  response.write(body, () => response.destroy());
}
