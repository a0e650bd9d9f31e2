import { expect } from 'chai';
import { startTable, type Table } from '@masticbend/standins/table';
import { createTableClient, PlatformError, type TableClient } from '../src/table.js';

const row = { table: 'records', key: 'a' };

describe('table', () => {
  let table: Table;
  let client: TableClient;

  beforeEach(async () => {
    table = await startTable(0);
    client = createTableClient({ url: table.url, timeoutMs: 500 });
  });

  afterEach(async () => {
    await client.close();
    await table.close();
  });

  it('commits a transaction whose conditions hold', async () => {
    const conditions = [{ ...row, version: 0 }];
    const first = await client.transact({ conditions, writes: [{ ...row, value: 1 }] });
    const second = await client.transact({ conditions, writes: [{ ...row, value: 2 }] });
    expect([first.committed, second.committed]).to.deep.equal([true, false]);
    expect(await client.readRow(row)).to.deep.equal({ ...row, version: 1, value: 1 });
  });

  it('reports that a write whose answer was lost may have taken effect', async () => {
    table.faults.loseAnswers = 1;
    const error = await client
      .transact({ writes: [{ ...row, value: 1 }] })
      .catch((e: unknown) => e);
    expect(error).to.be.instanceOf(PlatformError);
    expect((error as PlatformError).mayHaveTakenEffect).to.equal(true);
    expect((await client.readRow(row))?.value).to.equal(1);
  });

  it('reports that a write to a closed port had no effect', async () => {
    await table.close();
    const error = await client
      .transact({ writes: [{ ...row, value: 1 }] })
      .catch((e: unknown) => e);
    expect((error as PlatformError).mayHaveTakenEffect).to.equal(false);
  });

  it('lists rows in key order', async () => {
    const writes = ['b', 'a', 'c'].map((key) => ({ table: 'records', key, value: key }));
    await client.transact({ writes });
    const rows = await client.listRows('records', 'a', 2);
    expect(rows.map(({ key }) => key)).to.deep.equal(['b', 'c']);
  });
});
