/**
 * One chat completion at the engine stand-in: its record, its events and whoever listens to them.
 * Events are kept, so that a cut stream can be resumed after any number of them.
 */
import { createHash } from 'node:crypto';
import type { ServerResponse } from 'node:http';
import { sendJson, type Faults } from './http.js';

/** Failures of an engine besides the shared ones. */
export interface EngineFaults extends Faults {
  /** Factor by which the engine is slower. */
  slowFactor: number;
  /** Ends each stream properly, but without its last event, after this many events; -1 never. */
  truncateAfter: number;
  /** Cuts each stream's connection after this many events; -1 never. */
  cutAfter: number;
  /** Leaves the last event out. */
  omitDone: boolean;
  /** Announces more bytes than are sent in answers that are not streamed. */
  wrongLength: boolean;
}

/** Record of one call, as the engine saw it. */
export interface EngineCall {
  /** Value of `x-request-id`; empty when the caller named no stream. */
  id: string;
  /** Short digest of the prompt; every output token carries it. */
  digest: string;
  startedAt: number;
  promptTokens: number;
  cachedTokens: number;
  outputTokens: number;
  /** Output tokens made. */
  madeTokens: number;
  /** Prompt tokens computed, and those of them whose answer nobody got. */
  computedTokens: number;
  thrownAwayTokens: number;
  whole: boolean;
  cancelled: boolean;
}

const DIGEST_CHARACTERS = 8;
const DONE_EVENT = 'data: [DONE]\n\n';

/** Returns the digest that marks the answer to a prompt. */
export function hashPrompt(prompt: string): string {
  return createHash('sha256').update(prompt).digest('hex').slice(0, DIGEST_CHARACTERS);
}

/** Returns the text an engine answers to `messages`, given as the request carries them. */
export function createAnswerText(messages: unknown, outputTokens: number): string {
  const digest = hashPrompt(JSON.stringify(messages));
  return Array.from({ length: outputTokens }, (_, index) => createToken(digest, index)).join('');
}

/** Returns one output token. */
export function createToken(digest: string, index: number): string {
  return `${digest}-${index} `;
}

/** Where the events of a call go. */
export interface CallOutput {
  /** Sends one event of a stream to its listener. */
  push: (event: unknown) => void;
  /** Sends the end of a stream. */
  finish: () => void;
  /** Sends events from number `after` on to another listener. */
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

/** Sends an answer that is not streamed. */
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
