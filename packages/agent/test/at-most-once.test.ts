import { expect } from 'chai';
import { createSystemClock } from '@masticbend/kernel/clock';
import { createIdempotencyRecords } from '@masticbend/state/idempotency';
import { createTableClient } from '@masticbend/state/table';
import { waitFor } from '@masticbend/standins/http';
import { startService, type Service } from '@masticbend/standins/service';
import { startTable, type Table } from '@masticbend/standins/table';
import {
  createBooking,
  dialAgent,
  grantClaim,
  reserveClaim,
  startRequest,
  startTestAgent,
  waitUntil,
  type TestAgent,
  type TestEntry,
} from './harness.js';

describe('at most once', () => {
  let service: Service;
  let table: Table;
  let agents: TestAgent[];
  let entries: TestEntry[];

  beforeEach(async () => {
    service = await startService(0, 30);
    table = await startTable(0);
    const options = { backendUrl: service.url, tableUrl: table.url };
    agents = await Promise.all([startTestAgent(options), startTestAgent(options)]);
    entries = await Promise.all(agents.map(({ port }) => dialAgent(port)));
  });

  afterEach(async () => {
    await Promise.all(agents.map((agent) => agent.close()));
    await Promise.all([service.close(), table.close()]);
  });

  it('runs only one of two concurrent retries at two agents', async () => {
    const [first, second] = entries as [TestEntry, TestEntry];
    await Promise.all([
      startRequest(first, createBooking('r1', 'k1')),
      startRequest(second, createBooking('r2', 'k1')),
    ]);
    await waitUntil(
      () => first.select('end', 'r1').length + second.select('end', 'r2').length === 1,
      'one answer',
    );
    const returned = [...first.select('returned', 'r1'), ...second.select('returned', 'r2')];
    expect(returned.map(({ failure }) => failure.kind)).to.deep.equal(['in-progress']);
    expect(service.bookings).to.have.length(1);
  });

  it('runs both retries when they have no key, and so no record', async () => {
    const [first, second] = entries as [TestEntry, TestEntry];
    const createUnkeyedBooking = (request: string) => {
      const { key, ...booking } = createBooking(request, 'k1');
      return { ...booking, work: { idempotent: true } };
    };
    await startRequest(first, createUnkeyedBooking('r1'));
    await startRequest(second, createUnkeyedBooking('r2'));
    await Promise.all([first.waitForMessage('end', 'r1'), second.waitForMessage('end', 'r2')]);
    expect(service.bookings).to.have.length(2);
  });

  it('answers a retry from the record', async () => {
    const [first, second] = entries as [TestEntry, TestEntry];
    await startRequest(first, createBooking('r1', 'k1'));
    await first.waitForMessage('end', 'r1');
    await startRequest(second, createBooking('r2', 'k1'));
    await second.waitForMessage('end', 'r2');
    expect(second.select('head', 'r2')[0]).to.include({ status: 201, recorded: true });
    expect(second.readAnswer('r2')).to.equal(first.readAnswer('r1'));
    expect(second.select('started', 'r2')).to.have.length(0);
    expect(service.bookings).to.have.length(1);
  });

  it('answers a retried lookup with a key from the record', async () => {
    const [first, second] = entries as [TestEntry, TestEntry];
    const lookup = { key: 'k1', call: { path: '/parcels/7' } };
    await startRequest(first, { request: 'r1', ...lookup });
    await first.waitForMessage('end', 'r1');
    await startRequest(second, { request: 'r2', ...lookup });
    await second.waitForMessage('end', 'r2');
    expect(second.readAnswer('r2')).to.equal(first.readAnswer('r1'));
    expect(service.lookups).to.deep.equal(['7']);
  });

  it('returns a call whose key was used with another body', async () => {
    const [first, second] = entries as [TestEntry, TestEntry];
    await startRequest(first, createBooking('r1', 'k1'));
    await first.waitForMessage('end', 'r1');
    const other = { ...createBooking('r2', 'k1'), body: '{"reference":"other"}' };
    await startRequest(second, other);
    const { failure } = await second.waitForMessage('returned', 'r2');
    expect(failure.kind).to.equal('key-reused');
    expect(service.bookings).to.have.length(1);
  });

  it('reports outcome unknown to a retry after the lease of the attempt expired', async () => {
    const client = createTableClient({ url: table.url, timeoutMs: 500 });
    const longAgo = { ...createSystemClock(), readWallTime: () => Date.now() - 600_000 };
    const records = createIdempotencyRecords(client, longAgo);
    const booking = createBooking('r1', 'k1');
    const fingerprint = booking.body!;
    const reference = { account: 'school', key: 'k1', fingerprint, attempt: 'dead' };
    await records.startAttempt(reference, 'dead', false);
    await client.close();
    await startRequest(entries[0]!, booking);
    const { failure } = await entries[0]!.waitForMessage('returned', 'r1');
    expect(failure.kind).to.equal('outcome-unknown');
    expect(service.bookings).to.have.length(0);
  });

  it('records the failure of a call whose answer was lost, and never runs it again', async () => {
    const [first, second] = entries as [TestEntry, TestEntry];
    service.faults.loseAnswers = 1;
    await startRequest(first, createBooking('r1', 'k1'));
    const { failure } = await first.waitForMessage('failed', 'r1');
    expect(failure.kind).to.equal('outcome-unknown');
    await startRequest(second, createBooking('r2', 'k1'));
    const repeat = await second.waitForMessage('returned', 'r2');
    expect(repeat.failure.kind).to.equal('outcome-unknown');
    expect(service.bookings).to.have.length(1);
  });

  it('reports that the call was not run while the table service is down', async () => {
    const [first] = entries as [TestEntry];
    table.faults.down = true;
    await startRequest(first, createBooking('r1', 'k1'));
    const { failure } = await first.waitForMessage('returned', 'r1');
    expect(failure.kind).to.equal('platform-unavailable');
    expect(failure.retryAfterMs).to.be.above(0);
    table.faults.down = false;
    await waitFor(1_000);
    await startRequest(first, createBooking('r2', 'k1'));
    await first.waitForMessage('end', 'r2');
    expect(service.bookings).to.have.length(1);
  });

  it('runs once when answers of the table service are lost', async () => {
    const [first, second] = entries as [TestEntry, TestEntry];
    table.faults.loseAnswers = 1;
    await startRequest(first, createBooking('r1', 'k1'));
    await waitUntil(() => service.bookings.length === 1, 'the booking');
    table.faults.loseAnswers = 2;
    await first.waitForMessage('end', 'r1');
    table.faults.loseAnswers = 0;
    await waitUntil(() => agents[0]!.records.countPending() === 0, 'the record');
    await startRequest(second, createBooking('r2', 'k1'));
    await second.waitForMessage('end', 'r2');
    expect(second.select('head', 'r2')[0]!.recorded).to.equal(true);
    expect(service.bookings).to.have.length(1);
  });

  it('sends answers during an outage of the table service, and records them afterwards', async () => {
    const [first, second] = entries as [TestEntry, TestEntry];
    const requests = Array.from({ length: 6 }, (_, index) => `r${index}`);
    await Promise.all(requests.map((request) => startRequest(first, createBooking(request))));
    await waitUntil(() => table.counters.writes === 6, 'the records');
    table.faults.down = true;
    await Promise.all(requests.map((request) => first.waitForMessage('end', request)));
    await waitUntil(() => agents[0]!.records.countPending() === 6, 'the pending records');
    await startRequest(second, createBooking('again', 'r0'));
    expect((await second.waitForMessage('returned', 'again')).failure.kind).to.equal(
      'platform-unavailable',
    );
    table.faults.down = false;
    await waitUntil(() => agents[0]!.records.countPending() === 0, 'the records');
    await waitFor(1_000);
    await startRequest(second, createBooking('later', 'r0'));
    await second.waitForMessage('end', 'later');
    expect(second.select('head', 'later')[0]!.recorded).to.equal(true);
    expect(service.bookings).to.have.length(6);
  });

  it('runs a booking without a key once when its grant is duplicated', async () => {
    const [first] = entries as [TestEntry];
    const { key, ...booking } = createBooking('r1');
    const claim = await reserveClaim(first, booking);
    grantClaim(first, booking, claim);
    grantClaim(first, booking, claim);
    await first.waitForMessage('started', 'r1');
    first.socket.destroy();
    await waitUntil(() => agents[0]!.dispatcher.countOpen() === 0, 'the end of the call');
    expect(service.bookings).to.have.length(1);
    expect(table.counters.writes).to.equal(0);
  });

  it('does not call the table service for calls without a key', async () => {
    await startRequest(entries[0]!, { request: 'r1' });
    await entries[0]!.waitForMessage('end', 'r1');
    expect(table.counters).to.deep.equal({ reads: 0, writes: 0 });
  });

  it('completes and records a booking whose entry disconnects', async () => {
    const [first, second] = entries as [TestEntry, TestEntry];
    await startRequest(first, createBooking('r1', 'k1'));
    await first.waitForMessage('started', 'r1');
    first.socket.destroy();
    await waitUntil(() => agents[0]!.dispatcher.countOpen() === 0, 'the end of the call');
    await startRequest(second, createBooking('r2', 'k1'));
    await second.waitForMessage('end', 'r2');
    expect(second.select('head', 'r2')[0]!.recorded).to.equal(true);
    expect(service.bookings).to.have.length(1);
  });

  it('releases the record of a call that was aborted before it started', async () => {
    const [first, second] = entries as [TestEntry, TestEntry];
    table.faults.delayMs = 100;
    await startRequest(first, createBooking('r1', 'k1'));
    first.send({ kind: 'abort', request: 'r1' });
    const { failure } = await first.waitForMessage('returned', 'r1');
    expect(failure.kind).to.equal('overloaded');
    table.faults.delayMs = 0;
    await startRequest(second, createBooking('r2', 'k1'));
    await second.waitForMessage('end', 'r2');
    expect(service.bookings.map(({ requestId }) => requestId)).to.deep.equal(['r2']);
  });

  it('reports that the call was not run when the backend server is unreachable', async () => {
    const [first] = entries as [TestEntry];
    await service.close();
    await startRequest(first, createBooking('r1', 'k1'));
    const { failure } = await first.waitForMessage('returned', 'r1');
    expect(failure.kind).to.equal('no-backend-server');
    expect(first.select('started', 'r1')).to.have.length(0);
    const load = first.received.filter((message) => message.kind === 'load').at(-1);
    expect(load).to.have.nested.property('load.ready', false);
  });
});
