/** Callers of the soak test: send requests of every kind and record the answers. */
import { Agent, request as send } from 'undici';
import {
  API_KEY_HEADER,
  DEADLINE_HEADER,
  LAST_EVENT_ID_HEADER,
  PREFIX_HASH_HEADER,
  REQUEST_ID_HEADER,
  RESUMES_HEADER,
} from '@masticbend/platform/ingress';
import { CRASHING_PART } from './engine.js';

/** Time limit of a request, in milliseconds. */
export const CALLER_DEADLINE_MS = 3_000;
/** Time for which callers wait beyond it, so that late answers are seen, in milliseconds. */
const CALLER_PATIENCE_MS = 1_000;
/** Maximum number of connections to one entry, so large that no request waits for one. */
const CONNECTIONS_PER_ENTRY = 256;
const RESUMABLE_PATH = '/resume-stream/';
const PATHS = ['/once/', '/again/', '/stream/', RESUMABLE_PATH] as const;
/** Fraction of requests whose prompts have the crashing part, once it is sent. */
const CRASHING_FRACTION = 0.05;
const COMPLETE_EVENTS = /^(?:id: \d+\n.*\n\n)+/;

/** A request and its answer as recorded by the caller; times are from `performance.now()`. */
export interface CallRecord {
  id: string;
  path: string;
  /** Its prompt has the crashing part. */
  isCrashing: boolean;
  key: string;
  entry: string;
  sentAt: number;
  endedAt: number;
  /** 0 if no response head was received. */
  status: number;
  body: string;
  /** True if there was no answer or it ended early. */
  interrupted: boolean;
  /** Id of the request whose stream this one takes up, and the events that were received before. */
  resumes?: string;
  before: string;
}

/** Starts callers at a constant rate; `stop` waits for all outstanding answers. */
export function startCallers(
  intervalMs: number,
  drawRandom: () => number,
  chooseTarget: () => { entry: string; key: string },
): { records: CallRecord[]; sendCrashing: () => void; stop: () => Promise<void> } {
  const records: CallRecord[] = [];
  const agent = new Agent({ connections: CONNECTIONS_PER_ENTRY, pipelining: 1 });
  const inFlight = new Set<Promise<void>>();
  let callCount = 0;
  let crashingFraction = 0;

  /** Sends a request, and takes its stream up at any entry if it is interrupted. */
  async function call(): Promise<void> {
    const path = PATHS[Math.floor(drawRandom() * PATHS.length)]!;
    const record = await sendCall(path);
    const [events] = COMPLETE_EVENTS.exec(record.body) ?? [];
    if (record.interrupted && path === RESUMABLE_PATH && events !== undefined) {
      await sendCall(path, { resumes: record.id, before: events });
    }
  }

  async function sendCall(
    path: string,
    { resumes, before }: Pick<CallRecord, 'resumes' | 'before'> = { before: '' },
  ): Promise<CallRecord> {
    const { entry, key } = chooseTarget();
    const isCrashing = drawRandom() < crashingFraction;
    callCount += 1;
    const record: CallRecord = {
      id: `r${callCount}`,
      path,
      isCrashing,
      key,
      entry,
      sentAt: performance.now(),
      endedAt: 0,
      status: 0,
      body: '',
      interrupted: false,
      resumes,
      before,
    };
    records.push(record);
    try {
      const { statusCode, body } = await send(`http://${entry}${path}x`, {
        dispatcher: agent,
        method: 'POST',
        headers: {
          host: 'desk.example',
          [API_KEY_HEADER]: key,
          [REQUEST_ID_HEADER]: record.id,
          [DEADLINE_HEADER]: String(CALLER_DEADLINE_MS),
          [PREFIX_HASH_HEADER]: formatPrompt(record),
          ...(resumes !== undefined && {
            [RESUMES_HEADER]: resumes,
            [LAST_EVENT_ID_HEADER]: findLastId(before),
          }),
        },
        body: `order of ${record.id}`,
        signal: AbortSignal.timeout(CALLER_DEADLINE_MS + CALLER_PATIENCE_MS),
      });
      record.status = statusCode;
      for await (const chunk of body) record.body += String(chunk);
    } catch {
      // No answer (status 0) or an interrupted one.
      record.interrupted = true;
    }
    record.endedAt = performance.now();
    return record;
  }

  const timer = setInterval(() => {
    const running = call().finally(() => inFlight.delete(running));
    inFlight.add(running);
  }, intervalMs);

  return {
    records,
    sendCrashing() {
      crashingFraction = CRASHING_FRACTION;
    },
    async stop() {
      clearInterval(timer);
      await Promise.all(inFlight);
      await agent.destroy();
    },
  };
}

/** Requests share the first and the third part; the last is their own. */
function formatPrompt({ id, isCrashing }: CallRecord): string {
  const own = Number(id.slice(1)).toString(16);
  return `a1:60,${isCrashing ? CRASHING_PART : 'd2'}:90,b3:40,${own}:10`;
}

function findLastId(events: string): string {
  return [...events.matchAll(/^id: (\d+)$/gm)].at(-1)![1]!;
}
