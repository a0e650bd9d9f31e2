import { expect } from 'chai';
import { createAnswerText } from '@masticbend/standins/engine-call';
import {
  hashTestRequest,
  OUTPUT_TOKENS,
  type Answer,
  type TestRequest,
} from '@masticbend/bench/faults/caller';
import { findViolations, type BackendRecord } from '@masticbend/bench/faults/checks';

const EMPTY: BackendRecord = { received: [], ran: [], startedAt: new Map() };

function createTestRequest(kind: TestRequest['kind'], marker: string, tier = 0): TestRequest {
  return { kind, marker, apiKey: 'key', tier };
}

function createAnswer(
  testRequest: TestRequest,
  status: number,
  text: string,
  error?: Answer['error'],
): Answer {
  return { testRequest, answeredAt: 10, status, text, isComplete: true, ...(error && { error }) };
}

function createStreamText(marker: string): string {
  const content = createAnswerText(
    [{ role: 'user', content: `question ${marker}` }],
    OUTPUT_TOKENS,
  );
  return `data: ${JSON.stringify({ choices: [{ delta: { content } }] })}\n\ndata: [DONE]\n\n`;
}

function listViolations(
  testRequest: TestRequest,
  answers: Answer[],
  record: Partial<BackendRecord>,
): string[] {
  return findViolations([{ testRequest, sentAt: 0, sendCount: answers.length, answers }], {
    ...EMPTY,
    ...record,
  }).map((violation) => violation.split(':')[0]!);
}

describe('checks of the fault matrix', () => {
  const booking = createTestRequest('booking', 'b');
  const stream = createTestRequest('stream', 's');
  const booked = createAnswer(booking, 201, '{"reference":"b","number":1}');

  it('accept a booking that ran once and a complete stream', () => {
    expect(listViolations(booking, [booked, booked], { received: ['b'], ran: ['b'] }))
      .to.deep //
      .equal([]);
    const whole = createAnswer(stream, 200, createStreamText('s'));
    const marker = hashTestRequest(stream);
    expect(listViolations(stream, [whole], { received: [marker], ran: [marker] }))
      .to.deep //
      .equal([]);
  });

  it('find a booking that ran twice', () => {
    const record = { received: ['b', 'b'], ran: ['b', 'b'] };
    expect(listViolations(booking, [booked], record)).to.deep.equal([
      'dispatched at most once',
      'run at most once',
    ]);
  });

  it('find a request dispatched twice although it ran once', () => {
    const record = { received: ['b', 'b'], ran: ['b'] };
    expect(listViolations(booking, [booked], record)).to.deep.equal(['dispatched at most once']);
  });

  it('find a refusal reported as not run although the request ran', () => {
    const refusal = createAnswer(booking, 503, '', { kind: 'overloaded', ran: 'no' });
    expect(listViolations(booking, [refusal], { received: ['b'], ran: ['b'] })).to.deep.equal([
      'true refusal',
    ]);
  });

  it('find a truncated stream that ended properly, and the answer to another request', () => {
    const text = createStreamText('s');
    const truncated = createAnswer(stream, 200, text.slice(0, text.indexOf('data: [DONE]')));
    const foreign = createAnswer(stream, 200, createStreamText('other'));
    expect(listViolations(stream, [truncated, foreign], {})).to.deep.equal([
      'whole and own answer',
      'whole and own answer',
    ]);
  });

  it('find a success that never ran, and different answers to retries', () => {
    const other = createAnswer(booking, 201, '{"reference":"b","number":2}');
    expect(listViolations(booking, [booked, other], {})).to.deep.equal([
      'whole and own answer',
      'run at most once',
    ]);
  });

  it('find a lower-tier request that started after a higher-tier one was shed', () => {
    const low = createTestRequest('stream', 'low', 1);
    const shed = createAnswer(stream, 503, '', { kind: 'overloaded', ran: 'no' });
    const histories = [
      { testRequest: stream, sentAt: 0, sendCount: 1, answers: [shed] },
      { testRequest: low, sentAt: 1, sendCount: 1, answers: [] },
    ];
    const startedAt = new Map([[hashTestRequest(low), 1_000]]);
    expect(findViolations(histories, { ...EMPTY, startedAt })).to.have.length(1);
    expect(findViolations(histories, EMPTY)).to.deep.equal([]);
  });
});
