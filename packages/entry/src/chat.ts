/** Parses the fields of a chat completion body that its placement depends on. */

/** Maximum length of a model name, including the adapter. */
const MAX_MODEL_NAME_CHARACTERS = 200;

/** Fields of a chat completion request. */
export interface Chat {
  model: string;
  /** Adapter of the model, given as `model:adapter`. */
  adapter?: string;
  stream: boolean;
  maxTokens?: number;
  /** The messages as JSON, for the prefix hashes. */
  prompt: string;
}

/** A parsed chat completion, or the fault of the body. */
export type ChatResult = { ok: true; chat: Chat } | { ok: false; fault: string };

/** Parses and validates a chat completion body. */
export function parseChat(body: Buffer): ChatResult {
  let value: unknown;
  try {
    value = JSON.parse(body.toString('utf8'));
  } catch {
    return { ok: false, fault: 'The body is not JSON.' };
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return { ok: false, fault: 'The body is not a JSON object.' };
  }
  return readChat(value as Record<string, unknown>);
}

function readChat(value: Record<string, unknown>): ChatResult {
  const { model, messages, stream = false } = value;
  if (typeof model !== 'string' || model.length > MAX_MODEL_NAME_CHARACTERS) {
    return { ok: false, fault: 'model: expected a name.' };
  }
  if (!Array.isArray(messages)) return { ok: false, fault: 'messages: expected a list.' };
  if (typeof stream !== 'boolean') return { ok: false, fault: 'stream: expected true or false.' };
  const maxTokens = value.max_completion_tokens ?? value.max_tokens ?? undefined;
  if (maxTokens !== undefined && !isTokenCount(maxTokens)) {
    return { ok: false, fault: 'max_tokens: expected a whole number above 0.' };
  }
  const [name, adapter] = parseModel(model);
  const prompt = formatPrompt(messages);
  if (prompt === undefined) return { ok: false, fault: 'messages: nested too deep.' };
  return { ok: true, chat: { model: name, adapter, stream, maxTokens, prompt } };
}

function isTokenCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 1;
}

function parseModel(model: string): [string, string | undefined] {
  const separator = model.indexOf(':');
  if (separator < 0) return [model, undefined];
  return [model.slice(0, separator), model.slice(separator + 1)];
}

function formatPrompt(messages: unknown[]): string | undefined {
  try {
    return JSON.stringify(messages);
  } catch {
    return undefined;
  }
}
