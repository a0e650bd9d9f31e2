/** Callers of the soak: send requests of every kind and keep what they were told. */
import { Agent, request as send } from 'undici';
import { API_KEY_HEADER, DEADLINE_HEADER, REQUEST_ID_HEADER } from '@masticbend/platform/ingress';

/** Time a caller waits, in milliseconds. */
const CALLER_LIMIT_MS = 3_000;
/** Connections of all callers to one entry. */
const CONNECTIONS = 8;
const PATHS = ['/once/', '/again/', '/stream/', '/resume-stream/'] as const;

/** A request and its answer as its caller saw them. */
export interface CallRecord {
  id: string;
  path: string;
  key: string;
  entry: string;
  sentAt: number;
  endedAt: number;
  /** 0 when no answer came. */
  status: number;
  body: string;
  /** The answer broke off. */
  broken: boolean;
}

/** Starts callers at a steady rate; `stop` waits for the last answer. */
export function startCallers(
  intervalMs: number,
  draw: () => number,
  chooseTarget: () => { entry: string; key: string },
): { records: CallRecord[]; stop: () => Promise<void> } {
  const records: CallRecord[] = [];
  const agent = new Agent({ connections: CONNECTIONS, pipelining: 1 });
  const open = new Set<Promise<void>>();
  let next = 0;

  async function call(): Promise<void> {
    const { entry, key } = chooseTarget();
    const path = PATHS[Math.floor(draw() * PATHS.length)]!;
    next += 1;
    const record: CallRecord = {
      id: `r${next}`,
      path,
      key,
      entry,
      sentAt: performance.now(),
      endedAt: 0,
      status: 0,
      body: '',
      broken: false,
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
          [DEADLINE_HEADER]: String(CALLER_LIMIT_MS),
        },
        signal: AbortSignal.timeout(CALLER_LIMIT_MS),
      });
      record.status = statusCode;
      for await (const piece of body) record.body += String(piece);
    } catch {
      // No answer, or one that broke off: the record says which.
      record.broken = true;
    }
    record.endedAt = performance.now();
  }

  const timer = setInterval(() => {
    const running = call().finally(() => open.delete(running));
    open.add(running);
  }, intervalMs);

  return {
    records,
    async stop() {
      clearInterval(timer);
      await Promise.all(open);
      await agent.destroy();
    },
  };
}
