/** Streams of the engine stand-in by request id, which other requests can resume or cancel. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CallOutput, EngineCall } from './engine-call.js';
import { sendJson } from './http.js';

/** A streamed call and its output. */
export interface Stream {
  call: EngineCall;
  output: CallOutput;
  cancel: () => void;
}

/** Streams that can be resumed or cancelled. */
export interface StreamRegistry {
  /** Registers a stream that has an id, and sends it to its first client. */
  open: (stream: Stream, response: ServerResponse) => void;
  /** Answers a request to resume or cancel a stream. */
  handle: (request: IncomingMessage, response: ServerResponse, url: URL) => void;
  /** Evicts the oldest ended streams while there are too many. */
  evictEnded: () => void;
}

const PATH_PREFIX = '/v1/streams/';
/** Time in which an interrupted stream can be resumed before it is cancelled. */
const RESUME_TIMEOUT_MS = 2_000;
/** Streams kept before ended ones are evicted. */
const MAX_STREAMS = 256;

/** Returns an empty registry. */
export function createStreamRegistry(): StreamRegistry {
  const streams = new Map<string, Stream>();
  return {
    open(stream, response) {
      if (stream.call.id) streams.set(stream.call.id, stream);
      sendStream(stream, response, 0);
    },
    handle(request, response, url) {
      const stream = streams.get(url.pathname.slice(PATH_PREFIX.length));
      if (!stream) {
        sendJson(response, 404, { error: 'there is no such stream' });
      } else if (request.method === 'DELETE') {
        stream.cancel();
        sendJson(response, 200, { cancelled: stream.call.cancelled });
      } else if (stream.call.cancelled) {
        sendJson(response, 410, { error: 'the stream was cancelled' });
      } else {
        sendStream(stream, response, Number(url.searchParams.get('after') ?? 0));
      }
    },
    evictEnded() {
      for (const [id, { call }] of streams) {
        if (streams.size <= MAX_STREAMS) return;
        if (call.whole || call.cancelled) streams.delete(id);
      }
    },
  };
}

function sendStream(stream: Stream, response: ServerResponse, after: number): void {
  response.once('close', () => {
    const timeoutMs = stream.call.id ? RESUME_TIMEOUT_MS : 0;
    const cancelWithoutClient = () => {
      if (!stream.output.hasClient()) stream.cancel();
    };
    setTimeout(cancelWithoutClient, timeoutMs).unref();
  });
  stream.output.attachClient(response, after);
}
