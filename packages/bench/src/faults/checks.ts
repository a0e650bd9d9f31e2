/**
 * Checks of the promises against what the backend stand-ins themselves recorded and what callers
 * were told. Each violation names its promise and the request.
 */
import {
  RequestKind,
  hashTestRequest,
  isExpectedAnswer,
  isSuccess,
  type Answer,
  type TestRequest,
} from './caller.js';

/** Time in which a grant that was under way when another was shed may still start. */
const GRANT_TOLERANCE_MS = 250;

/** What the backend stand-ins recorded; markers are booking references and prompt digests. */
export interface BackendRecord {
  /** Every arrival, whether or not it ran. */
  received: readonly string[];
  /** Everything that took effect or began to be computed. */
  ran: readonly string[];
  /** Moment each engine call started, by digest. */
  startedAt: ReadonlyMap<string, number>;
}

/** A request with every answer its caller got, the repeats last. */
export interface RequestHistory {
  testRequest: TestRequest;
  sentAt: number;
  /** Times the caller itself sent it. */
  sendCount: number;
  answers: Answer[];
}

/** Returns every broken promise. */
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
        `dispatched at most once: ${formatTestRequest(testRequest)} reached backend servers ${count} times`,
      ]
    : [];
}

function checkExpectedAnswers({ testRequest, answers }: RequestHistory): string[] {
  return answers
    .filter((answer) => isSuccess(answer) && !isExpectedAnswer(answer))
    .map(
      ({ text }) =>
        `whole and own answer: ${formatTestRequest(testRequest)} got "${text.slice(-60)}"`,
    );
}

function checkRefusals(
  { testRequest, sendCount, answers }: RequestHistory,
  record: BackendRecord,
): string[] {
  const refusals = answers.filter(({ error }) => error?.ran === 'no');
  if (refusals.length < sendCount || countMarker(record.ran, testRequest) === 0) return [];
  const kinds = refusals.map(({ error }) => error!.kind).join(', ');
  return [
    `true refusal: ${formatTestRequest(testRequest)} ran although all its answers were ${kinds}`,
  ];
}

function checkBooking({ testRequest, answers }: RequestHistory, record: BackendRecord): string[] {
  if (testRequest.kind !== RequestKind.Booking) return [];
  const count = countMarker(record.ran, testRequest);
  const successes = answers.filter(isSuccess);
  const violations: string[] = [];
  if (count > 1)
    violations.push(`run at most once: ${formatTestRequest(testRequest)} ran ${count} times`);
  if (successes.length > 0 && count === 0) {
    violations.push(
      `whole and own answer: ${formatTestRequest(testRequest)} succeeded but never ran`,
    );
  }
  if (new Set(successes.map(({ text }) => text)).size > 1) {
    violations.push(
      `run at most once: ${formatTestRequest(testRequest)} got different answers to its repeats`,
    );
  }
  return violations;
}

/** A lower tier must not start after a higher one that could have had its place was shed. */
function checkTiers(histories: readonly RequestHistory[], record: BackendRecord): string[] {
  const violations: string[] = [];
  for (const { testRequest, answers } of histories) {
    const [shed] = answers.filter(({ error }) => error?.kind === 'overloaded');
    const servedInstead =
      shed && histories.find((other) => isServedInstead(other, testRequest, shed, record));
    if (servedInstead) {
      violations.push(
        `tiers in order: ${formatTestRequest(testRequest)} was shed, ${formatTestRequest(servedInstead.testRequest)} ran`,
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

function formatTestRequest({ kind, marker }: TestRequest): string {
  return `${kind} ${marker}`;
}
