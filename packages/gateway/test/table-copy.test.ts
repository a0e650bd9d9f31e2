import { expect } from 'chai';
import type { StoreRow } from '@masticbend/platform/store';
import { createTableCopy } from '../src/table-copy.js';

const ERA = 3;

function createRow(key: string, revision: number, deleted = false): StoreRow {
  return { key, value: Buffer.from(key), revision, deleted };
}

function describeRead(copy: ReturnType<typeof createTableCopy>, era?: number, after?: number) {
  const read = copy.read(era, after);
  if (read?.kind !== 'rows') return read?.kind;
  return read.rows.map(({ key, deleted }) => (deleted ? `-${key}` : key)).join(' ');
}

describe('table copy', () => {
  it('returns the changes after a revision, deleted rows among them', () => {
    const copy = createTableCopy();
    expect(describeRead(copy)).to.equal(undefined);
    copy.setAll({ rows: [createRow('a', 4), createRow('b', 7)], revision: 10, era: ERA });
    copy.apply({ rows: [createRow('c', 12), createRow('a', 14, true)], revision: 15, era: ERA });
    expect(describeRead(copy)).to.equal('b c');
    expect(describeRead(copy, ERA, 10)).to.equal('c -a');
    expect(describeRead(copy, ERA, 12)).to.equal('-a');
    expect(describeRead(copy, ERA, 15)).to.equal('');
  });

  it('returns no changes that it may not know completely', () => {
    const copy = createTableCopy();
    copy.setAll({ rows: [createRow('a', 4)], revision: 10, era: ERA });
    expect(describeRead(copy, ERA, 9)).to.equal('history-lost');
    expect(describeRead(copy, ERA, 11)).to.equal('behind');
    expect(describeRead(copy, ERA - 1, 10)).to.equal('history-lost');
    expect(describeRead(copy, ERA + 1, 10)).to.equal('history-lost');
  });

  it('keeps a bounded number of deleted rows', () => {
    const copy = createTableCopy();
    copy.setAll({ rows: [], revision: 0, era: ERA });
    for (let revision = 1; revision <= 600; revision += 1) {
      copy.apply({ rows: [createRow(`r${revision}`, revision, true)], revision, era: ERA });
    }
    expect(describeRead(copy, ERA, 99)).to.equal('history-lost');
    expect(describeRead(copy, ERA, 100)!.split(' ')).to.have.length(500);
  });
});
