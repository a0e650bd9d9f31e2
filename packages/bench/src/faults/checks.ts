/**
 * Checks the guarantees against the records of the backend stand-ins and the answers that callers
 * received. Each violation names the guarantee and the request.
 */
import {
  RequestKind,
  hashTestRequest,
  isExpectedAnswer,
  isSuccess,
  type Answer,
  type TestRequest,
} from './caller.js';

/** Time in which a call granted before another request was shed may start, in milliseconds. */
const GRANT_TOLERANCE_MS = 250;

/** Records of the backend stand-ins; markers are booking references, parcels and prompt digests. */
export interface BackendRecord {
  /** Markers of all bookings and chats received, whether or not they ran. */
  received: readonly string[];
  /** Markers of all requests that took effect or whose computation started. */
  ran: readonly string[];
  /** Start time of each engine call, by prompt digest. */
  startedAt: ReadonlyMap<string, number>;
}

/** A request with every answer its caller received, those to retries last. */
export interface RequestHistory {
  testRequest: TestRequest;
  sentAt: number;
  /** Number of times that the caller sent it. */
  sendCount: number;
  answers: Answer[];
}

/** Returns a line for every violation. */
export function findViolations(
  histories: readonly RequestHistory[],
  record: BackendRecord,
): string[] {
  return [
    ...histories.flatMap((history) => [
      ...checkDispatches(history, record),
      ...checkExpectedAnswers(history),
      ...checkRefusals(history, record),
      ...checkBooking(history, record),
    ]),
    ...checkTiers(histories, record),
  ];
}

function getRecordedMarker(testRequest: TestRequest): string {
  return testRequest.kind === RequestKind.Booking || testRequest.kind === RequestKind.Lookup
    ? testRequest.marker
    : hashTestRequest(testRequest);
}

function countMarker(markers: readonly string[], testRequest: TestRequest): number {
  const marker = getRecordedMarker(testRequest);
  return markers.filter((other) => other === marker).length;
}

function checkDispatches(
  { testRequest, sendCount }: RequestHistory,
  record: BackendRecord,
): string[] {
  const count = countMarker(record.received, testRequest);
  const maxCount = testRequest.kind === RequestKind.Booking ? 1 : sendCount;
  return count > maxCount
    ? [
        `dispatched at most once: ${formatRequest(testRequest)} reached backend servers ${count} times`,
      ]
    : [];
}

function checkExpectedAnswers({ testRequest, answers }: RequestHistory): string[] {
  return answers
    .filter((answer) => isSuccess(answer) && !isExpectedAnswer(answer))
    .map(
      ({ text }) => `whole and own answer: ${formatRequest(testRequest)} got "${text.slice(-60)}"`,
    );
}

function checkRefusals(
  { testRequest, sendCount, answers }: RequestHistory,
  record: BackendRecord,
): string[] {
  const refusals = answers.filter(({ error }) => error?.ran === 'no');
  if (refusals.length < sendCount || countMarker(record.ran, testRequest) === 0) return [];
  const kinds = refusals.map(({ error }) => error!.kind).join(', ');
  return [`true refusal: ${formatRequest(testRequest)} ran although all its answers were ${kinds}`];
}

function checkBooking(
  { testRequest: booking, answers }: RequestHistory,
  record: BackendRecord,
): string[] {
  if (booking.kind !== RequestKind.Booking) return [];
  const count = countMarker(record.ran, booking);
  const successes = answers.filter(isSuccess);
  const violations: string[] = [];
  if (count > 1) violations.push(`run at most once: ${formatRequest(booking)} ran ${count} times`);
  if (successes.length > 0 && count === 0) {
    violations.push(`whole and own answer: ${formatRequest(booking)} succeeded but never ran`);
  }
  if (new Set(successes.map(({ text }) => text)).size > 1) {
    violations.push(
      `run at most once: ${formatRequest(booking)} got different answers to its repeats`,
    );
  }
  return violations;
}

/**
 * A lower-tier request sent before a higher-tier one was shed must not start after that, since the
 * higher-tier one could have run instead.
 */
function checkTiers(histories: readonly RequestHistory[], record: BackendRecord): string[] {
  const violations: string[] = [];
  for (const { testRequest, answers } of histories) {
    const [shed] = answers.filter(({ error }) => error?.kind === 'overloaded');
    const servedInstead =
      shed && histories.find((other) => isServedInstead(other, testRequest, shed, record));
    if (servedInstead) {
      violations.push(
        `tiers in order: ${formatRequest(testRequest)} was shed, ${formatRequest(servedInstead.testRequest)} ran`,
      );
    }
  }
  return violations;
}

function isServedInstead(
  other: RequestHistory,
  testRequest: TestRequest,
  shed: Answer,
  record: BackendRecord,
): boolean {
  if (other.testRequest.tier <= testRequest.tier || other.sentAt > shed.answeredAt) return false;
  const startedAt = record.startedAt.get(getRecordedMarker(other.testRequest));
  return startedAt !== undefined && startedAt > shed.answeredAt + GRANT_TOLERANCE_MS;
}

function formatRequest({ kind, marker }: TestRequest): string {
  return `${kind} ${marker}`;
}
