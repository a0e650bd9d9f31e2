import { expect } from 'chai';
import { createVirtualClock } from '@masticbend/kernel/clock';
import { createSilentLogger } from '@masticbend/kernel/log';
import {
  createConfigurationExchange,
  type ConfigurationExchange,
} from '@masticbend/state/configuration-exchange';
import { createConfigurationReplica } from '@masticbend/state/configuration-replica';
import type { Message } from '@masticbend/protocol/message';
import type { Operation } from '@masticbend/settings/document';
import { updateDocumentDigest } from '@masticbend/settings/document-digest';

const TEXT = '[tiers.fast]\nrank = 0\ndeadlineMs = 1000\n[accounts]\n[backendServers]\n';

type Intercept = (message: Message) => Message | undefined;

/** Connected processes whose messages are queued until `deliver` is called. */
function createNetwork(names: string[], intercept: Intercept = (message) => message) {
  const clock = createVirtualClock();
  const queue: { from: string; to: string; message: Message }[] = [];
  const sent: Message[] = [];
  const nodes = new Map(
    names.map((name) => {
      const replica = createConfigurationReplica(createSilentLogger());
      const send = (to: string, message: Message) => {
        sent.push(message);
        const intercepted = intercept(message);
        if (intercepted) queue.push({ from: name, to, message: intercepted });
        return true;
      };
      const exchange = createConfigurationExchange({ replica, clock, send });
      return [name, { replica, exchange }] as const;
    }),
  );
  const deliver = () => {
    for (let next = queue.shift(); next; next = queue.shift()) {
      nodes.get(next.to)!.exchange.handleMessage(next.from, next.message);
    }
  };
  const link = (left: string, right: string) => {
    const addPeer = (at: string, peer: string) =>
      nodes.get(at)!.exchange.addPeer(peer, nodes.get(peer)!.replica.getRevision());
    addPeer(left, right);
    addPeer(right, left);
    deliver();
  };
  const listRevisions = () => [...nodes.values()].map(({ replica }) => replica.getRevision());
  return { clock, nodes, sent, deliver, link, listRevisions };
}

function applyNext(network: ReturnType<typeof createNetwork>, name: string, tier: string) {
  const { replica } = network.nodes.get(name)!;
  const { revision, digest, document } = replica.getCurrent()!;
  const operations: Operation[] = [
    { section: 'tiers', key: tier, value: { rank: 1, deadlineMs: 9_000 } },
  ];
  replica.applyEdit({
    revision: revision + 1,
    digest: updateDocumentDigest(digest, document, operations),
    operations,
  });
  network.deliver();
}

function countBytes(messages: Message[]): number {
  return messages.reduce((sum, message) => sum + JSON.stringify(message).length, 0);
}

const MESH = [
  ['entry-1', 'agent-1'],
  ['entry-1', 'agent-2'],
  ['agent-2', 'entry-2'],
  ['entry-2', 'agent-3'],
] as const;

describe('configuration exchange', () => {
  it('propagates an edit from an entry through agents to another entry, in few bytes', () => {
    const network = createNetwork(['entry-1', 'entry-2', 'agent-1', 'agent-2', 'agent-3']);
    const padding = Array.from(
      { length: 4_000 },
      (_, index) => `[models.model-${index}]\nversion = "${index}"\n`,
    );
    network.nodes.get('entry-1')!.replica.applyDocument(1, TEXT + padding.join(''));
    for (const [left, right] of MESH) network.link(left, right);
    expect(network.listRevisions()).to.deep.equal([1, 1, 1, 1, 1]);
    network.sent.length = 0;
    applyNext(network, 'entry-1', 'slow');
    expect(network.listRevisions()).to.deep.equal([2, 2, 2, 2, 2]);
    expect(countBytes(network.sent)).to.be.below(5_000);
  });

  it('keeps a revision that only agents have after its entry is gone', async () => {
    const network = createNetwork(['entry-1', 'entry-2', 'agent-1']);
    network.nodes.get('entry-1')!.replica.applyDocument(1, TEXT);
    network.link('entry-1', 'agent-1');
    applyNext(network, 'entry-1', 'slow');
    const confirmations = network.nodes.get('entry-1')!.exchange.waitForConfirmations(2, 1, 100);
    expect(await confirmations).to.equal(1);
    network.nodes.get('agent-1')!.exchange.removePeer('entry-1');
    network.link('entry-2', 'agent-1');
    expect(network.nodes.get('entry-2')!.replica.getRevision()).to.equal(2);
  });

  it('requests from another peer after a timeout', () => {
    let dropsDocuments = true;
    const network = createNetwork(['entry-1', 'agent-1', 'agent-2'], (message) =>
      dropsDocuments && message.kind === 'configuration' ? undefined : message,
    );
    for (const agent of ['agent-1', 'agent-2']) {
      network.nodes.get(agent)!.replica.applyDocument(7, TEXT);
      network.link('entry-1', agent);
    }
    expect(network.nodes.get('entry-1')!.replica.getRevision()).to.equal(0);
    dropsDocuments = false;
    network.clock.advance(1_000);
    network.deliver();
    expect(network.nodes.get('entry-1')!.replica.getRevision()).to.equal(7);
  });

  it('recovers from a damaged edit by requesting the complete document', () => {
    const network = createNetwork(['entry-1', 'agent-1'], (message) =>
      message.kind === 'configuration-edit' ? { ...message, operations: '[]' } : message,
    );
    network.nodes.get('entry-1')!.replica.applyDocument(1, TEXT);
    network.link('entry-1', 'agent-1');
    applyNext(network, 'entry-1', 'slow');
    const { replica } = network.nodes.get('agent-1')!;
    expect(replica.getRevision()).to.equal(2);
    expect(replica.getConfiguration()?.tiers).to.have.keys('fast', 'slow');
  });

  it('repeats the request after each damaged document, once per timeout', () => {
    const network = createNetwork(['entry-1', 'agent-1'], (message) =>
      message.kind === 'configuration' ? { ...message, text: 'damaged' } : message,
    );
    network.nodes.get('entry-1')!.replica.applyDocument(1, TEXT);
    network.link('entry-1', 'agent-1');
    for (let round = 0; round < 5; round += 1) {
      network.clock.advance(1_000);
      network.deliver();
    }
    const requests = network.sent.filter(({ kind }) => kind === 'revision-request');
    expect(requests).to.have.length(6);
    expect(network.nodes.get('agent-1')!.replica.getRevision()).to.equal(0);
  });

  it('reports how many peers have a revision when the wait times out', async () => {
    const network = createNetwork(['entry-1', 'agent-1']);
    network.nodes.get('entry-1')!.replica.applyDocument(1, TEXT);
    const exchange: ConfigurationExchange = network.nodes.get('entry-1')!.exchange;
    const confirmations = exchange.waitForConfirmations(1, 2, 500);
    network.link('entry-1', 'agent-1');
    network.clock.advance(500);
    expect(await confirmations).to.equal(1);
  });
});
