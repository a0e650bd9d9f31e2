import { expect } from 'chai';
import { createQuotaService } from '@masticbend/agent/quota-service';
import { createVirtualClock, type VirtualClock } from '@masticbend/kernel/clock';
import { encodeFrame } from '@masticbend/protocol/frame';
import type { Message } from '@masticbend/protocol/message';
import { createAccountLimits, type AccountLimits } from '@masticbend/entry/account-limits';
import { parseConfiguration, type Configuration } from '@masticbend/settings/configuration';

const LIMITS = { requestRate: 100, tokenRate: 5_000, concurrency: 12 };
const STEP_MS = 5;
const HASH = '0'.repeat(64);
const DOCUMENT = `
[tiers.fast]
rank = 0
deadlineMs = 5000
[accounts.baker]
keyHashes = ["${HASH}"]
tier = "fast"
requestsPerSecond = ${LIMITS.requestRate}
tokensPerSecond = ${LIMITS.tokenRate}
concurrency = ${LIMITS.concurrency}
[backendServers]
`;

function readConfiguration(): Configuration {
  const result = parseConfiguration(DOCUMENT);
  if (!result.ok) throw new Error(JSON.stringify(result.faults));
  return result.configuration;
}

interface Mesh {
  clock: VirtualClock;
  entries: AccountLimits[];
  downAgents: Set<string>;
  countSentBytes: () => number;
  run: (durationMs: number, rates: number[], tokens?: number, holdMs?: number) => Outcome;
}

interface Outcome {
  admitted: number[];
  maxOpen: number;
  retryAfterMs: number[];
}

/** Connects the limits of entries with the quota services of agents on a virtual clock. */
function createMesh(entryCount: number, hasLeases = true): Mesh {
  const clock = createVirtualClock();
  const configuration = readConfiguration();
  const account = configuration.accounts.baker!;
  const getConfiguration = () => configuration;
  const downAgents = new Set<string>();
  const open = new Set<string>();
  let sentBytes = 0;
  const names = ['agent-1', 'agent-2', 'agent-3'];
  const entries: AccountLimits[] = [];
  const services = new Map(
    names.map((name) => [
      name,
      createQuotaService({
        clock,
        getConfiguration,
        countEntries: () => entryCount,
        send(owner, message) {
          sentBytes += encodeFrame(message).length;
          if (message.kind === 'quota') entries[Number(owner)]!.receive(message);
          return true;
        },
      }),
    ]),
  );
  const sendTo = (entry: number) => (agent: string, message: Message) => {
    if (!hasLeases || downAgents.has(agent) || message.kind !== 'quota-request') return false;
    sentBytes += encodeFrame(message).length;
    services.get(agent)!.handleRequest(String(entry), message);
    return true;
  };
  for (let entry = 0; entry < entryCount; entry += 1) {
    const isConnected = (agent: string) => !downAgents.has(agent);
    const send = sendTo(entry);
    const limits = createAccountLimits({ clock, getConfiguration, send, isConnected });
    limits.setAgents(names);
    entries.push(limits);
  }

  function startRequest(entry: number, request: string, tokens: number, holdMs: number): void {
    open.add(request);
    clock.startTimer(holdMs, () => {
      open.delete(request);
      entries[entry]!.finish(request, tokens);
    });
  }

  function run(durationMs: number, rates: number[], tokens = 0, holdMs = 1): Outcome {
    const outcome: Outcome = { admitted: rates.map(() => 0), maxOpen: 0, retryAfterMs: [] };
    const due = rates.map(() => 0);
    let sent = 0;
    for (const end = clock.now() + durationMs; clock.now() < end; clock.advance(STEP_MS)) {
      for (const [entry, rate] of rates.entries()) {
        due[entry]! += (rate * STEP_MS) / 1_000;
        for (; due[entry]! >= 1; due[entry]! -= 1) {
          sent += 1;
          const request = `${clock.now()}-${sent}`;
          const failure = entries[entry]!.admit(request, 'baker', account, tokens);
          if (failure) {
            outcome.retryAfterMs.push(failure.retryAfterMs!);
            continue;
          }
          outcome.admitted[entry]! += 1;
          startRequest(entry, request, tokens, holdMs);
          outcome.maxOpen = Math.max(outcome.maxOpen, open.size);
        }
      }
    }
    return outcome;
  }

  return { clock, entries, downAgents, countSentBytes: () => sentBytes, run };
}

function sum(values: number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

describe('account limits', () => {
  const loads: [string, number[]][] = [
    ['on one entry only', [500, 0, 0, 0]],
    ['evenly on all entries', [100, 100, 100, 100]],
    ['unevenly', [20, 5, 400, 60]],
  ];
  for (const [name, rates] of loads) {
    it(`keeps an account above its request rate within a tenth of it, ${name}`, () => {
      const mesh = createMesh(4);
      mesh.run(2_000, rates);
      const { admitted, retryAfterMs } = mesh.run(5_000, rates);
      expect(sum(admitted) / 5).to.be.within(LIMITS.requestRate * 0.9, LIMITS.requestRate * 1.1);
      expect(Math.max(...retryAfterMs)).to.be.within(1, 3_000);
    });
  }

  it('keeps an account above its token rate within a tenth of it', () => {
    const mesh = createMesh(4);
    mesh.run(2_000, [60, 0, 20, 0], 200);
    const { admitted } = mesh.run(6_000, [60, 0, 20, 0], 200);
    const tokenRate = (sum(admitted) * 200) / 6;
    expect(tokenRate).to.be.within(LIMITS.tokenRate * 0.9, LIMITS.tokenRate * 1.1);
  });

  it('keeps concurrent requests within the concurrency limit', () => {
    const mesh = createMesh(4);
    const load = [40, 10, 0, 0];
    mesh.run(3_000, load, 0, 1_000);
    expect(mesh.run(5_000, load, 0, 1_000).maxOpen).to.be.within(
      LIMITS.concurrency - 3,
      LIMITS.concurrency,
    );
  });

  it('admits every request of an account below its limit', () => {
    const mesh = createMesh(4);
    mesh.run(2_000, [10, 50, 0, 5]);
    const { admitted, retryAfterMs } = mesh.run(5_000, [10, 50, 0, 5]);
    expect(retryAfterMs).to.deep.equal([]);
    expect(sum(admitted)).to.be.within(320, 326);
  });

  it('admits prompts at an entry whose first request of the account had no tokens', () => {
    const mesh = createMesh(4);
    mesh.run(3_000, [5, 5, 5, 0], 20);
    mesh.run(100, [5, 5, 5, 20], 0);
    const { admitted, retryAfterMs } = mesh.run(400, [5, 5, 5, 20], 20);
    expect(retryAfterMs).to.deep.equal([]);
    expect(admitted[3]).to.be.within(7, 8);
  });

  it('limits one busy entry to its equal share without leases', () => {
    const mesh = createMesh(4, false);
    mesh.run(2_000, [500, 0, 0, 0]);
    const { admitted } = mesh.run(5_000, [500, 0, 0, 0]);
    expect(sum(admitted) / 5).to.be.within(20, 30);
  });

  it('stays near the limit while quota allocators are lost, and returns to it afterwards', () => {
    const mesh = createMesh(4);
    const load = [300, 20, 0, 0];
    mesh.run(2_000, load);
    for (const agent of ['agent-1', 'agent-2']) mesh.downAgents.add(agent);
    const during = mesh.run(3_000, load);
    expect(sum(during.admitted) / 3).to.be.within(
      LIMITS.requestRate * 0.7,
      LIMITS.requestRate * 1.4,
    );
    const after = mesh.run(5_000, load);
    expect(sum(after.admitted) / 5).to.be.within(
      LIMITS.requestRate * 0.9,
      LIMITS.requestRate * 1.1,
    );
  });

  it('sends few quota requests for an account with low demand', () => {
    const mesh = createMesh(4);
    mesh.run(1_000, [2, 2, 2, 2]);
    const before = mesh.countSentBytes();
    mesh.run(16_000, [2, 2, 2, 2]);
    expect((mesh.countSentBytes() - before) / 16 / 4).to.be.lessThan(60);
  });

  it('bounds the quota traffic of an entry with thousands of busy accounts among 640 entries', () => {
    const clock = createVirtualClock();
    const configuration = readConfiguration();
    const baker = configuration.accounts.baker!;
    const names = Array.from({ length: 6_500 }, (_, index) => `account-${index}`);
    configuration.accounts = Object.fromEntries(names.map((name) => [name, baker]));
    let sentBytes = 0;
    const limits = createAccountLimits({
      clock,
      getConfiguration: () => configuration,
      isConnected: () => true,
      send(_agent, message) {
        sentBytes += encodeFrame(message).length;
        if (message.kind !== 'quota-request') return true;
        const { kind, ...shares } = message;
        const answer = { ...shares, kind: 'quota', entries: 640 } as const;
        sentBytes += encodeFrame(answer).length;
        limits.receive(answer);
        return kind === 'quota-request';
      },
    });
    limits.setAgents(Array.from({ length: 100 }, (_, index) => `agent-${index}`));
    let sent = 0;
    function run(durationMs: number): void {
      for (const end = clock.now() + durationMs; clock.now() < end; clock.advance(STEP_MS)) {
        const account = names[(sent * 7_919) % names.length]!;
        sent += 1;
        limits.admit(`${sent}`, account, baker, 300);
        limits.finish(`${sent}`, 300);
      }
    }
    run(5_000);
    sentBytes = 0;
    run(20_000);
    expect(sentBytes / 20).to.be.within(50, 500);
  });
});
