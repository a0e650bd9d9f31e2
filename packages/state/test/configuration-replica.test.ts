import { expect } from 'chai';
import { createSilentLogger } from '@masticbend/kernel/log';
import { createConfigurationReplica } from '@masticbend/state/configuration-replica';
import { updateDocumentDigest } from '@masticbend/settings/document-digest';
import type { Operation } from '@masticbend/settings/document';

const TEXT = '[tiers.fast]\nrank = 0\ndeadlineMs = 1000\n[accounts]\n[backendServers]\n';
const OPERATIONS: Operation[] = [
  { section: 'tiers', key: 'slow', value: { rank: 1, deadlineMs: 9_000 } },
];

function createReplica() {
  const replica = createConfigurationReplica(createSilentLogger());
  replica.applyDocument(3, TEXT);
  const { digest, document } = replica.getCurrent()!;
  const edit = (revision: number, operations = OPERATIONS) => ({
    revision,
    digest: updateDocumentDigest(digest, document, operations),
    operations,
  });
  return { replica, edit };
}

describe('configuration replica', () => {
  it('moves to higher revisions only', () => {
    const { replica, edit } = createReplica();
    expect(replica.applyDocument(3, TEXT)).to.equal('stale');
    expect(replica.applyDocument(2, TEXT)).to.equal('stale');
    expect(replica.applyEdit(edit(3))).to.equal('stale');
    expect(replica.applyEdit(edit(5))).to.equal('gap');
    expect(replica.applyEdit(edit(4))).to.equal('applied');
    expect(replica.getRevision()).to.equal(4);
    expect(replica.getConfiguration()?.tiers).to.have.keys('fast', 'slow');
  });

  it('rejects damaged and invalid content and keeps the revision in force', () => {
    const { replica, edit } = createReplica();
    expect(replica.applyDocument(9, TEXT, '0'.repeat(64))).to.equal('rejected');
    expect(replica.applyDocument(9, 'no toml')).to.equal('rejected');
    expect(replica.applyEdit({ ...edit(4), digest: '0'.repeat(64) })).to.equal('rejected');
    const invalid: Operation[] = [{ section: 'tiers', key: 'slow', value: { rank: 99 } }];
    expect(replica.applyEdit(edit(4, invalid))).to.equal('rejected');
    expect(replica.getRevision()).to.equal(3);
  });

  it('gives the same result by edit and by complete document', () => {
    const { replica, edit } = createReplica();
    replica.applyEdit(edit(4));
    const other = createConfigurationReplica(createSilentLogger());
    const text = `${TEXT}[tiers.slow]\nrank = 1\ndeadlineMs = 9000\n`;
    expect(other.applyDocument(4, text, replica.getCurrent()!.digest)).to.equal('applied');
    expect(other.getConfiguration()).to.deep.equal(replica.getConfiguration());
  });

  it('keeps recent edits for peers and notifies listeners', () => {
    const { replica, edit } = createReplica();
    const seen: number[] = [];
    const unsubscribe = replica.subscribe((_, revision) => seen.push(revision));
    replica.applyEdit(edit(4));
    unsubscribe();
    expect(replica.listEditsAfter(3)).to.deep.equal([edit(4)]);
    expect(replica.listEditsAfter(2)).to.equal(undefined);
    expect(seen).to.deep.equal([3, 4]);
  });

  it('does not find inherited names after an edit', () => {
    const { replica, edit } = createReplica();
    replica.applyEdit(edit(4));
    expect(replica.getConfiguration()?.tiers.constructor).to.equal(undefined);
  });
});
