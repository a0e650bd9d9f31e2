/**
 * Property tests of commits: conflicting edits, lost answers and outages must leave a valid
 * document that equals the replay of the stored edits, with every confirmed edit exactly once.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { createSilentLogger } from '@masticbend/kernel/log';
import { createConfigurationEditor } from '@masticbend/state/configuration-editor';
import { refreshReplica } from '@masticbend/state/configuration-refresh';
import { createConfigurationReplica } from '@masticbend/state/configuration-replica';
import { createConfigurationStore } from '@masticbend/state/configuration-store';
import { createObjectStore } from '@masticbend/state/object-store';
import { createTableClient } from '@masticbend/state/table';
import { checkConfiguration, parseConfiguration } from '@masticbend/settings/configuration';
import { applyOperations, parseDocument, type Operation } from '@masticbend/settings/document';
import { computeDocumentDigest } from '@masticbend/settings/document-digest';
import { checkEdit } from '@masticbend/settings/edit-request';
import { startObjectStore } from '@masticbend/standins/object-store';
import { startTable } from '@masticbend/standins/table';

const SEED = 20_261_203;
const TEXT = '[tiers.fast]\nrank = 0\ndeadlineMs = 1000\n[accounts]\n[backendServers]\n';

const tier = fc.constantFrom('fast', 'slow');
const operation: fc.Arbitrary<Operation> = fc.oneof(
  tier.map((key): Operation => ({ section: 'tiers', key, value: { rank: 1, deadlineMs: 900 } })),
  tier.map((key): Operation => ({ section: 'tiers', key })),
  tier.map((name): Operation => {
    const value = { keyHashes: ['0'.repeat(64)], tier: name };
    return { section: 'accounts', key: 'bakery', value };
  }),
  fc.constant<Operation>({ section: 'accounts', key: 'bakery' }),
);
const step = fc.record({
  operations: fc.tuple(operation, operation),
  behind: fc.nat({ max: 2 }),
  loseAnswers: fc.constantFrom(0, 0, 1, 2),
  down: fc.constantFrom(false, false, false, true),
});

describe('configuration commits', () => {
  it(`keep a valid document equal to the replayed history (seed ${SEED})`, async function run() {
    this.timeout(60_000);
    const property = fc.asyncProperty(fc.array(step, { maxLength: 8 }), async (steps) => {
      const table = await startTable(0);
      const objects = await startObjectStore(0);
      const createStore = () =>
        createConfigurationStore(
          createTableClient({ url: table.url, timeoutMs: 1_000 }),
          createObjectStore({ url: objects.url, timeoutMs: 1_000 }),
        );
      const entries = [0, 1].map(() => {
        const store = createStore();
        const replica = createConfigurationReplica(createSilentLogger());
        return { store, replica, editor: createConfigurationEditor(store, replica, () => 1) };
      });
      const first = parseDocument(TEXT);
      await entries[0]!.store.commitInitialDocument(TEXT, computeDocumentDigest(first));
      const committed = new Set<string>();
      try {
        for (const [index, { operations, behind, loseAnswers, down }] of steps.entries()) {
          const revision = Math.max(...entries.map(({ replica }) => replica.getRevision()), 1);
          const against = Math.max(1, revision - behind);
          Object.assign(table.faults, { loseAnswers, down });
          const results = await Promise.all(
            entries.map(({ editor }, entry) => {
              const editId = `${index}-${entry}`;
              const edit = { editId, team: 'team', author: 'ada', against };
              return editor.submitEdit({ ...edit, operations: [operations[entry]!] });
            }),
          );
          Object.assign(table.faults, { loseAnswers: 0, down: false });
          results.forEach(({ kind }, entry) => {
            if (kind === 'committed') committed.add(`${index}-${entry}`);
          });
        }
        const reader = {
          store: createStore(),
          replica: createConfigurationReplica(createSilentLogger()),
        };
        await refreshReplica(reader.store, reader.replica);
        const history = await reader.store.readEditsAfter(1);
        const current = reader.replica.getCurrent()!;
        const naive = history.reduce((d, edit) => applyOperations(d, edit.operations), first);
        expect(history.map(({ revision }) => revision)).to.deep.equal(history.map((_, i) => i + 2));
        expect(current.revision).to.equal(history.length + 1);
        expect(current.digest).to.equal(computeDocumentDigest(naive));
        expect(checkConfiguration(naive).ok).to.equal(true);
        const ids = history.map(({ editId }) => editId);
        expect(new Set(ids).size).to.equal(ids.length);
        for (const id of committed) expect(ids).to.include(id);
      } finally {
        await Promise.all([table.close(), objects.close()]);
      }
    });
    await fc.assert(property, { seed: SEED, numRuns: 30 });
  });

  it(`return a result for any text and any edit (seed ${SEED})`, () => {
    const text = fc.oneof(
      fc.string(),
      fc.string().map((suffix) => `${TEXT}${suffix}`),
    );
    fc.assert(
      fc.property(text, (found) => {
        expect(parseConfiguration(found)).to.have.property('ok');
      }),
      { seed: SEED, numRuns: 500 },
    );
    fc.assert(
      fc.property(fc.jsonValue(), (found) => {
        expect(checkEdit(found)).to.have.property('ok');
      }),
      { seed: SEED, numRuns: 500 },
    );
  });
});
