import { expect } from 'chai';
import { createSystemClock } from '@masticbend/kernel/clock';
import { CLAIM_VALID_MS } from '@masticbend/scheduling/agent-scheduler';
import { startService, type Service } from '@masticbend/standins/service';
import { startTable, type Table } from '@masticbend/standins/table';
import { BODY_CHUNK_TIMEOUT_MS } from '../src/granted-calls.js';
import {
  createBooking,
  createWork,
  dialAgent,
  grantClaim,
  reserveClaim,
  startTestAgent,
  waitUntil,
  type TestAgent,
  type TestEntry,
} from './harness.js';

describe('claims', () => {
  let service: Service;
  let table: Table;
  let agent: TestAgent;
  let entry: TestEntry;
  let other: TestEntry;
  /** Time by which the agent's clock is ahead, to simulate a pause of the whole process. */
  let pausedMs: number;

  beforeEach(async () => {
    pausedMs = 0;
    const system = createSystemClock();
    const clock = { ...system, now: () => system.now() + pausedMs };
    service = await startService(0, 20);
    table = await startTable(0);
    agent = await startTestAgent({
      backendUrl: service.url,
      tableUrl: table.url,
      concurrency: 2,
      clock,
    });
    entry = await dialAgent(agent.port);
    other = await dialAgent(agent.port);
  });

  afterEach(async () => {
    await agent.close();
    await Promise.all([service.close(), table.close()]);
  });

  it('does not start a claim that expired during a pause', async () => {
    const booking = createBooking('r1');
    const claim = await reserveClaim(entry, booking);
    pausedMs = CLAIM_VALID_MS + 1;
    grantClaim(entry, booking, claim);
    const { failure } = await entry.waitForMessage('returned', 'r1');
    expect(failure.kind).to.equal('overloaded');
    expect(service.bookings).to.have.length(0);
  });

  it('does not start a granted call whose deadline expired during a pause', async () => {
    const booking = { ...createBooking('r1'), body: undefined };
    const claim = await reserveClaim(entry, booking);
    const body = createBooking('r1').body!;
    const data = Buffer.from(body);
    grantClaim(entry, { ...booking, call: { ...booking.call, bodyBytes: data.length } }, claim);
    await waitUntil(() => agent.dispatcher.countOpen() === 1, 'the grant');
    const { deadlineMs } = createWork();
    pausedMs = deadlineMs + 1;
    entry.send({ kind: 'body', request: 'r1', data, last: true });
    const { failure } = await entry.waitForMessage('returned', 'r1');
    expect(failure.kind).to.be.oneOf(['deadline-exceeded', 'overloaded']);
    expect(service.bookings).to.have.length(0);
    expect(table.counters.writes).to.equal(0);
  });

  it('returns a call whose body stays incomplete', async () => {
    const claim = await reserveClaim(entry, { request: 'r1' });
    grantClaim(entry, { request: 'r1', call: { bodyBytes: 10 } }, claim);
    await waitUntil(() => agent.dispatcher.countOpen() === 1, 'the grant');
    pausedMs = BODY_CHUNK_TIMEOUT_MS + 1;
    await entry.waitForMessage('returned', 'r1');
    expect(agent.dispatcher.countOpen()).to.equal(0);
  });

  it('returns a call whose body is longer than announced', async () => {
    const claim = await reserveClaim(entry, { request: 'r1' });
    grantClaim(entry, { request: 'r1', call: { bodyBytes: 2 } }, claim);
    entry.send({ kind: 'body', request: 'r1', data: Buffer.from('long'), last: false });
    const { failure } = await entry.waitForMessage('returned', 'r1');
    expect(failure.kind).to.equal('invalid-request');
  });

  it('runs a call with a duplicated grant and body once', async () => {
    const booking = createBooking('r1');
    const claim = await reserveClaim(entry, booking);
    grantClaim(entry, booking, claim);
    grantClaim(entry, booking, claim);
    await entry.waitForMessage('end', 'r1');
    grantClaim(entry, booking, claim);
    await entry.waitForMessage('returned', 'r1');
    expect(entry.select('started', 'r1')).to.have.length(1);
    expect(service.bookings).to.have.length(1);
  });

  it('ignores messages of an entry about requests of another entry', async () => {
    const booking = createBooking('r1');
    const claim = await reserveClaim(entry, booking);
    other.send({ kind: 'cancel', request: 'r1' });
    other.send({ kind: 'deny', request: 'r1', claim: claim.claim });
    grantClaim(other, booking, claim);
    await other.waitForMessage('returned', 'r1');
    grantClaim(entry, booking, claim);
    other.send({ kind: 'abort', request: 'r1' });
    other.send({ kind: 'body', request: 'r1', data: Buffer.from('x'), last: true });
    await entry.waitForMessage('end', 'r1');
    expect(service.bookings).to.have.length(1);
    expect(other.select('data', 'r1')).to.have.length(0);
  });

  it('refuses a request id that another entry uses', async () => {
    await reserveClaim(entry, { request: 'r1' });
    other.send({ kind: 'reserve', request: 'r1', work: createWork(), displace: true });
    const { failure } = await other.waitForMessage('refused', 'r1');
    expect(failure.kind).to.equal('invalid-request');
  });

  it('ignores messages about unknown requests', async () => {
    entry.send({ kind: 'credit', request: 'none', bytes: 10 });
    entry.send({ kind: 'abort', request: 'none' });
    entry.send({ kind: 'cancel', request: 'none' });
    entry.send({ kind: 'deny', request: 'none', claim: 1 });
    entry.send({ kind: 'body', request: 'none', data: Buffer.from('x'), last: true });
    const lookup = { request: 'r1' };
    grantClaim(entry, lookup, await reserveClaim(entry, lookup));
    await entry.waitForMessage('end', 'r1');
    expect(service.lookups).to.have.length(1);
  });

  it('frees the capacity claimed by an entry that disconnects', async () => {
    await reserveClaim(entry, { request: 'r1' });
    await reserveClaim(entry, { request: 'r2' });
    other.send({ kind: 'reserve', request: 'r3', work: createWork(), displace: false });
    await other.waitForMessage('queued', 'r3');
    entry.socket.destroy();
    await other.waitForMessage('claim', 'r3');
  });

  it('clamps an unknown tier to the lowest', async () => {
    const lookup = { request: 'r1', work: { tier: 99 } };
    grantClaim(entry, lookup, await reserveClaim(entry, lookup));
    await entry.waitForMessage('end', 'r1');
  });
});
