/* global performance, setTimeout, Buffer */
/** Clients on kept channels, after PROTOCOL.md. */
import { Agent, request as sendRequest } from 'node:http';
import { randomBytes } from 'node:crypto';

const LAST_EVENT = ' last';
/** Wait after a channel that was not established. */
const REFUSED_RETRY_MS = 100;

export function createClient({ record, host = 'ledger.example' }) {
  const agent = new Agent({ keepAlive: true, maxSockets: 64 });
  const sent = [];

  function send(target, { path, method = 'POST', key, body = 'x', deadlineMs = 4_000, headers }) {
    const attempt = randomBytes(8).toString('hex');
    const call = { attempt, at: performance.now(), key, path, target: target.host };
    sent.push(call);
    record('client', `sends ${call.attempt} to ${target.host}${key ? ` with key ${key}` : ''}`);
    return new Promise((resolve) => {
      const finish = (result) => {
        if (call.endedAt) return;
        call.endedAt = performance.now();
        Object.assign(call, result);
        record('client', `gets ${call.status ?? call.error} for ${call.attempt}`);
        resolve(call);
      };
      const request = sendRequest(
        {
          ...target,
          method,
          path,
          agent,
          headers: {
            host,
            'x-masticbend-attempt-id': call.attempt,
            'x-masticbend-deadline-ms': String(deadlineMs),
            ...(key && { 'x-masticbend-key': key }),
            ...(method === 'POST' && { 'content-length': String(Buffer.byteLength(body)) }),
            ...headers,
          },
        },
        (response) => {
          const chunks = [];
          response.on('data', (chunk) => chunks.push(chunk));
          response.on('error', (error) => finish({ error: error.code }));
          response.on('aborted', () => finish({ error: 'cut' }));
          response.on('end', () =>
            finish({
              status: response.statusCode,
              headers: response.headers,
              body: Buffer.concat(chunks).toString(),
            }),
          );
        },
      );
      request.on('error', (error) => finish({ error: error.code ?? error.message }));
      request.setTimeout(deadlineMs, () => request.destroy(new Error('deadline')));
      request.end(method === 'POST' ? body : undefined);
    });
  }

  /**
   * Reads a stream to its last event; takes it up on a new channel at the next entry where the
   * channel breaks, and comes back where it is told to. It names the attempt that brought its first
   * event, as the news of `Resumes` tell.
   */
  async function readStream(targets, { tries = 4, deadlineMs = 12_000, ...options }) {
    const stream = { attempts: [], events: [], isWhole: false };
    const endAt = performance.now() + deadlineMs;
    let refused = 0;
    for (let turn = 0; turn < tries + refused && !stream.isWhole; turn += 1) {
      const leftMs = Math.round(endAt - performance.now());
      if (leftMs < 500) break;
      const target = targets[turn % targets.length];
      const retryMs = await readEvents(stream, target, { ...options, deadlineMs: leftMs });
      // The platform's balancer would have found an entry that listens.
      if (retryMs === REFUSED_RETRY_MS) refused += 1;
      if (retryMs > 0) {
        await new Promise((resolve) => {
          setTimeout(resolve, Math.min(retryMs, leftMs / 3));
        });
      }
    }
    return stream;
  }

  /** Returns after how many milliseconds the client may come back. */
  function readEvents(stream, target, { path, key, deadlineMs }) {
    const attempt = randomBytes(8).toString('hex');
    const lastId = stream.events.at(-1)?.id;
    stream.attempts.push(attempt);
    const from = lastId === undefined ? '' : ` after event ${lastId}`;
    record('client', `sends ${attempt} to ${target.host}${from}`);
    return new Promise((resolve) => {
      let text = '';
      const finish = (how, retryMs = 0) => {
        record('client', `${how} for ${attempt}, ${stream.events.length} events`);
        resolve(retryMs);
      };
      const request = sendRequest(
        {
          ...target,
          path,
          agent: false,
          method: 'POST',
          headers: {
            host,
            'x-masticbend-attempt-id': attempt,
            'x-masticbend-deadline-ms': String(deadlineMs),
            'x-masticbend-model': 'm',
            'x-masticbend-token-count': '100,60',
            'content-length': '1',
            ...(key && { 'x-masticbend-key': key }),
            ...(lastId !== undefined && {
              'last-event-id': lastId,
              resumes: stream.events[0].attempt,
            }),
          },
        },
        (response) => {
          response.on('data', (chunk) => {
            text += chunk;
            for (let end = text.indexOf('\n\n'); end >= 0; end = text.indexOf('\n\n')) {
              const [, id, data] = /id: (\d+)\ndata: (.*)/.exec(text.slice(0, end)) ?? [];
              if (id !== undefined) stream.events.push({ id, data, attempt });
              text = text.slice(end + 2);
            }
          });
          response.on('error', () => undefined);
          response.on('close', () => {
            const isEnded = response.complete && response.statusCode === 200;
            stream.isWhole = isEnded && stream.events.at(-1)?.data.endsWith(LAST_EVENT) === true;
            const retryMs = Number(response.headers['retry-after'] ?? 0) * 1_000;
            finish(`gets ${response.statusCode}${response.complete ? '' : ', cut'}`, retryMs);
          });
        },
      );
      request.on('error', (error) =>
        finish(`gets ${error.code ?? error.message}`, REFUSED_RETRY_MS),
      );
      request.setTimeout(deadlineMs, () => request.destroy(new Error('deadline')));
      request.end('x');
    });
  }

  return { send, readStream, sent, close: () => agent.destroy() };
}
