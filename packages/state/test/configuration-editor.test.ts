import { expect } from 'chai';
import { createSilentLogger } from '@masticbend/kernel/log';
import {
  createConfigurationEditor,
  type ProposedEdit,
} from '@masticbend/state/configuration-editor';
import { refreshReplica } from '@masticbend/state/configuration-refresh';
import { createConfigurationReplica } from '@masticbend/state/configuration-replica';
import { createConfigurationStore } from '@masticbend/state/configuration-store';
import { createObjectStore } from '@masticbend/state/object-store';
import { createTableClient } from '@masticbend/state/table';
import { parseDocument, type Operation } from '@masticbend/settings/document';
import { computeDocumentDigest } from '@masticbend/settings/document-digest';
import { startObjectStore, type ObjectStoreStandIn } from '@masticbend/standins/object-store';
import { startTable, type Table } from '@masticbend/standins/table';

const TEXT = '[tiers.fast]\nrank = 0\ndeadlineMs = 1000\n[accounts]\n[backendServers]\n';
const ADD_SLOW: Operation = { section: 'tiers', key: 'slow', value: { rank: 1, deadlineMs: 900 } };
const USE_SLOW: Operation = {
  section: 'accounts',
  key: 'bakery',
  value: { keyHashes: ['0'.repeat(64)], tier: 'slow' },
};

describe('configuration editor', () => {
  let table: Table;
  let objects: ObjectStoreStandIn;
  let nextId = 0;

  beforeEach(async () => {
    table = await startTable(0);
    objects = await startObjectStore(0);
    const store = createStore();
    await store.commitInitialDocument(TEXT, computeDocumentDigest(parseDocument(TEXT)));
  });

  afterEach(async () => {
    await Promise.all([table.close(), objects.close()]);
  });

  function createStore() {
    return createConfigurationStore(
      createTableClient({ url: table.url, timeoutMs: 1_000 }),
      createObjectStore({ url: objects.url, timeoutMs: 1_000 }),
    );
  }

  function createEntry() {
    const store = createStore();
    const replica = createConfigurationReplica(createSilentLogger());
    return { store, replica, editor: createConfigurationEditor(store, replica, () => 1) };
  }

  function createEdit(against: number, ...operations: Operation[]): ProposedEdit {
    nextId += 1;
    return { editId: `edit-${nextId}`, team: 'sales', author: 'ada', against, operations };
  }

  it('commits an edit and puts it in force', async () => {
    const { editor, replica } = createEntry();
    const result = await editor.submitEdit(createEdit(1, ADD_SLOW));
    expect(result).to.have.property('kind', 'committed');
    expect(replica.getRevision()).to.equal(2);
    const other = createEntry();
    await refreshReplica(other.store, other.replica);
    expect(other.replica.getCurrent()).to.deep.equal(replica.getCurrent());
  });

  it('rejects an invalid edit and reports every fault', async () => {
    const { editor } = createEntry();
    const result = await editor.submitEdit(createEdit(1, USE_SLOW));
    expect(result).to.deep.equal({
      kind: 'invalid',
      revision: 1,
      faults: [{ key: 'accounts.bakery.tier', message: 'there is no tier "slow"' }],
      edits: [],
    });
  });

  it('does not let two concurrent edits combine into an invalid document', async () => {
    const [left, right] = [createEntry(), createEntry()];
    await left.editor.submitEdit(createEdit(1, ADD_SLOW));
    const results = await Promise.all([
      left.editor.submitEdit(createEdit(2, USE_SLOW)),
      right.editor.submitEdit(createEdit(2, { section: 'tiers', key: 'slow' })),
    ]);
    expect(results.map(({ kind }) => kind).sort()).to.deep.equal(['committed', 'invalid']);
  });

  it('rebases edits of other keys and reports the earlier edits on a conflict', async () => {
    const [left, right] = [createEntry(), createEntry()];
    await left.editor.submitEdit(createEdit(1, ADD_SLOW));
    const limits = createEdit(1, { section: 'limits', key: 'queueLimit', value: 9 });
    expect(await right.editor.submitEdit(limits)).to.have.property('kind', 'committed');
    const late = await right.editor.submitEdit(createEdit(1, { section: 'tiers', key: 'slow' }));
    expect(late.kind === 'conflict' && late.edits.map(({ editId }) => editId)).to.deep.equal([
      `edit-${nextId - 2}`,
      limits.editId,
    ]);
  });

  it('answers a repeated edit id with its first result, at any entry', async () => {
    const [left, right] = [createEntry(), createEntry()];
    const edit = createEdit(1, ADD_SLOW);
    const first = await left.editor.submitEdit(edit);
    await left.editor.submitEdit(createEdit(2, { section: 'tiers', key: 'slow' }));
    expect(await right.editor.submitEdit(edit)).to.deep.equal(first);
    const changed = { ...edit, operations: [USE_SLOW] };
    expect(await right.editor.submitEdit(changed)).to.deep.equal({
      kind: 'failed',
      failure: { kind: 'key-reused' },
    });
  });

  it('finds out by itself whether a commit with a lost answer took effect', async () => {
    const { editor, replica, store } = createEntry();
    await refreshReplica(store, replica);
    await editor.submitEdit(createEdit(1, ADD_SLOW));
    const commit = store.commitEdit;
    const lossyStore = {
      ...store,
      commitEdit: (...args: Parameters<typeof commit>) => {
        table.faults.loseAnswers = 1;
        return commit(...args);
      },
    };
    const lossy = createConfigurationEditor(lossyStore, replica, () => 1);
    const result = await lossy.submitEdit(createEdit(2, USE_SLOW));
    expect(result).to.have.property('kind', 'committed');
    expect(replica.getRevision()).to.equal(3);
    expect(table.faults.loseAnswers).to.equal(0);
  });

  it('reports an unknown outcome when every answer is lost, and the result on retry', async () => {
    const { editor, replica, store } = createEntry();
    await refreshReplica(store, replica);
    const commit = store.commitEdit;
    const lossyStore = {
      ...store,
      commitEdit: (...args: Parameters<typeof commit>) => {
        table.faults.loseAnswers = 10;
        return commit(...args);
      },
    };
    const edit = createEdit(1, ADD_SLOW);
    const lossy = createConfigurationEditor(lossyStore, replica, () => 1);
    expect(await lossy.submitEdit(edit)).to.deep.equal({
      kind: 'failed',
      failure: { kind: 'outcome-unknown' },
    });
    table.faults.loseAnswers = 0;
    expect(await editor.submitEdit(edit)).to.have.property('kind', 'committed');
    expect(replica.getRevision()).to.equal(2);
  });

  it('reports the platform as unavailable when it is down', async () => {
    const { editor } = createEntry();
    table.faults.down = true;
    expect(await editor.submitEdit(createEdit(1, ADD_SLOW))).to.deep.equal({
      kind: 'failed',
      failure: { kind: 'platform-unavailable' },
    });
  });

  it('stores snapshots at intervals, from which a new process starts', async () => {
    const { editor, replica } = createEntry();
    for (let revision = 1; revision < 70; revision += 1) {
      const value = revision + 1;
      await editor.submitEdit(
        createEdit(revision, { section: 'limits', key: 'queueLimit', value }),
      );
    }
    expect([...objects.objects.keys()].map((key) => key.split('-')[1])).to.deep.equal(['1', '65']);
    const other = createEntry();
    await refreshReplica(other.store, other.replica);
    expect(other.replica.getRevision()).to.equal(70);
    expect(other.replica.getCurrent()!.digest).to.equal(replica.getCurrent()!.digest);
  });
});
