import { expect } from 'chai';
import { startService, type Service } from '@masticbend/standins/service';

describe('service stand-in', () => {
  let service: Service;

  beforeEach(async () => {
    service = await startService(0, 0);
  });
  afterEach(() => service.close());

  it('keeps a booking whose answer was lost', async () => {
    const book = (reference: string) =>
      fetch(`${service.url}/bookings`, { method: 'POST', body: JSON.stringify({ reference }) });
    service.faults.loseAnswers = 1;
    const lost = await book('first').catch(() => 'lost');
    const answered = await book('second');
    expect(lost).to.equal('lost');
    expect(answered.status).to.equal(201);
    expect(service.bookings.map(({ reference }) => reference)).to.deep.equal(['first', 'second']);
  });

  it('closes the connection of every call while it is down', async () => {
    service.faults.down = true;
    const answer = await fetch(`${service.url}/parcels/1`).catch(() => 'cut');
    expect(answer).to.equal('cut');
    expect(service.lookups).to.deep.equal([]);
  });
});
