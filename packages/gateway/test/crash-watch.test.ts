/** Which crashes an entry holds against whole requests, and what it tells the other entries. */
import { expect } from 'chai';
import { createVirtualClock } from '@masticbend/kernel/clock';
import { createLogger } from '@masticbend/kernel/log';
import { ErrorKind } from '@masticbend/protocol/error';
import type { CrashEvidenceMessage } from '@masticbend/protocol/gateway-message';
import { rankNames } from '@masticbend/scheduling/rendezvous';
import { checkMessage } from '@masticbend/protocol/shape';
import type { BackendServer } from '@masticbend/settings/routing';
import { createCrashGuard } from '../src/crash-guard.js';
import { createCrashWatch, type SentRequest } from '../src/crash-watch.js';
import type { RequestState, RunningAttempt } from '../src/request-state.js';
import { Registration } from '../src/server-losses.js';

/** Time after which evidence counts. */
const SETTLED_MS = 100;
/** Time for which an answer goes on that shows that its prompt is sound. */
const SOUND_MS = 600;
/** Time within which a server that is back is found to have crashed. */
const FOUND_MS = 4_000;
/** Time from the start of an entry in which it may have seen no answers. */
const LEARNING_MS = 3_000;
/** Time by which a request that was lost is later as a trial. */
const LOST_TRIAL_DELAY_MS = 5_000;
/** A crash of a whole service with many requests, each with a body of its own. */
const CRASHED_SERVERS = 200;
const LOST_REQUESTS = 40;
const STORM_MS = 2_000;
/** Bounds of the traffic of one entry with one peer, and of what it keeps. */
const MAX_MESSAGES_PER_S = 50;
const MAX_SUSPECTS_PER_MESSAGE = 64;
const MAX_KNOWN = 1_024 + 256;

/** Message of an entry of an earlier build. */
const EVIDENCE: CrashEvidenceMessage = {
  kind: 'crash-evidence',
  parts: ['a1'],
  crashes: ['s1@1'],
  refuted: [''],
  trials: [0],
};

function createServer(index: number): BackendServer {
  return { id: `s${index}`, bornAt: 1 } as BackendServer;
}

interface PeerAnswer {
  parts: string[];
  isComplete: boolean;
}

function createAnswer(crash: string, { parts, isComplete }: PeerAnswer): CrashEvidenceMessage {
  return {
    kind: 'crash-evidence',
    parts,
    crashes: parts.map(() => crash),
    refuted: parts.map(() => ''),
    trials: parts.map(() => 0),
    answeredCrash: crash,
    isComplete,
  };
}

function createWatch() {
  const clock = createVirtualClock();
  const sent: CrashEvidenceMessage[] = [];
  const observed = { probes: 0, digests: 0 };
  const state = {
    isRefused: true,
    isPeerLive: true,
    /** What the other entry lost with the server of a trial; undefined if it does not answer. */
    peerAnswer: { parts: [], isComplete: true } as PeerAnswer | undefined,
    sent: [] as SentRequest[],
    registration: Registration.Serving as Registration,
  };
  const watch = createCrashWatch({
    self: 'entry-0',
    clock,
    log: createLogger({}, 'silent'),
    countConnections: () => 0,
    drawRandom: () => 0.5,
    probe(_server, onResult) {
      observed.probes += 1;
      const { isRefused } = state;
      clock.startTimer(1, () => onResult(isRefused));
    },
    getRegistration: () => state.registration,
    listLive: () => (state.isPeerLive ? ['entry-1'] : []),
    listConnected: () => ['entry-1'],
    listMembers: () => ['entry-1'],
    send(_peer, message) {
      sent.push(message);
      const { askedCrash } = message;
      if (askedCrash === undefined) return;
      clock.startTimer(1, () => {
        if (state.peerAnswer) watch.receive('entry-1', createAnswer(askedCrash, state.peerAnswer));
      });
    },
    listSent: () => state.sent,
    onBlocked: () => undefined,
  });
  function createRequest(server: number, digest = 'd1', parts: string[] = []): SentRequest {
    const getDigest = () => {
      observed.digests += 1;
      return digest;
    };
    return { server: createServer(server), parts, getDigest };
  }
  function recordLosses(servers: number[], digest?: string): void {
    for (const server of servers) watch.recordLoss(createRequest(server, digest));
    clock.advance(SETTLED_MS);
  }
  return { clock, sent, observed, state, watch, createRequest, recordLosses };
}

describe('crash watch', () => {
  it('blocks a whole request after three crashes, and no other one', () => {
    const { watch, createRequest, recordLosses } = createWatch();
    recordLosses([1, 2]);
    expect(watch.findBlocked(createRequest(9))).to.equal(undefined);
    recordLosses([3]);
    expect(watch.findBlocked(createRequest(9))).to.equal('request:d1');
    expect(watch.findBlocked(createRequest(9, 'd2'))).to.equal(undefined);
  });

  // Each repeat of a request that crashes servers ends one more.
  it('lets an entry repeat a request after one crash, not after two', () => {
    const { watch, createRequest, recordLosses } = createWatch();
    watch.recordLoss(createRequest(1));
    expect(watch.isRepeatSafe(createRequest(9))).to.equal(true);
    watch.recordLoss(createRequest(2));
    expect(watch.isRepeatSafe(createRequest(9))).to.equal(false);
    recordLosses([]);
    expect(watch.isRepeatSafe(createRequest(9))).to.equal(false);
    expect(watch.isRepeatSafe(createRequest(9, 'd2'))).to.equal(true);
  });

  // Callers that sent the same request lost its repeats wherever connections broke without a crash.
  it('lets an entry repeat a request whose servers accept connections after their losses', () => {
    const { clock, state, watch, createRequest } = createWatch();
    state.isRefused = false;
    for (const server of [1, 2, 3]) {
      watch.recordLoss(createRequest(server));
      expect(watch.isRepeatSafe(createRequest(9))).to.equal(true);
      clock.advance(SETTLED_MS);
    }
  });

  // The digest of a large body takes time on each request.
  it('computes no digest while no server has crashed', () => {
    const { watch, observed, createRequest } = createWatch();
    watch.findBlocked(createRequest(9));
    watch.isRepeatSafe(createRequest(9));
    watch.recordAnswer(createRequest(9), true);
    expect(observed).to.deep.equal({ probes: 0, digests: 0 });
  });

  it('is refuted by a complete answer of a server that is still there', () => {
    const { clock, watch, state, createRequest, recordLosses } = createWatch();
    recordLosses([1, 2, 3]);
    watch.recordAnswer(createRequest(4), true);
    clock.advance(SETTLED_MS);
    expect(watch.findBlocked(createRequest(9))).to.equal('request:d1');
    state.isRefused = false;
    watch.recordAnswer(createRequest(4), true);
    clock.advance(SETTLED_MS);
    expect(watch.findBlocked(createRequest(9))).to.equal(undefined);
  });

  // A new process accepted connections at the address before the entry dialled it.
  it('counts a server that another incarnation has replaced', () => {
    const { clock, watch, state, createRequest, recordLosses } = createWatch();
    state.isRefused = false;
    recordLosses([1, 2, 3]);
    expect(watch.findBlocked(createRequest(9))).to.equal(undefined);
    state.registration = Registration.Gone;
    clock.advance(FOUND_MS);
    expect(watch.findBlocked(createRequest(9))).to.equal('request:d1');
  });

  it('does not count connections that a server resets, or that end as it leaves', () => {
    const { clock, watch, state, createRequest, recordLosses } = createWatch();
    state.isRefused = false;
    recordLosses([1, 2, 3]);
    state.registration = Registration.Leaving;
    recordLosses([4, 5, 6]);
    clock.advance(FOUND_MS);
    expect(watch.findBlocked(createRequest(9))).to.equal(undefined);
  });

  // The connection to a crashed server may end long after the others.
  it('counts a loss that comes after the crash is known', () => {
    const { watch, state, createRequest, recordLosses } = createWatch();
    recordLosses([1, 2, 3], 'other');
    state.isRefused = false;
    recordLosses([1, 2, 3]);
    expect(watch.findBlocked(createRequest(9))).to.equal('request:d1');
  });

  // A peer that was silent for a second never learned of the crashes of that time.
  it('is sent to peers that are connected and not heard', () => {
    const { sent, state, recordLosses } = createWatch();
    state.isPeerLive = false;
    recordLosses([1, 2]);
    expect(sent.at(-1)?.parts).to.deep.equal(['request:d1']);
    expect(sent.at(-1)?.crashes).to.deep.equal(['s1@1 s2@1']);
  });

  // Several requests that crash the same servers had each sound one refused that shares a part.
  it('blocks no part that is answered soundly until the servers crash', () => {
    const { clock, watch, createRequest } = createWatch();
    const sound = createRequest(9, 'sound', ['a1']);
    sound.outputAt = clock.now();
    watch.recordOutput(sound);
    clock.advance(SOUND_MS);
    for (const server of [1, 2, 3, 4, 5]) {
      watch.recordLoss(createRequest(server, `d${server % 3}`, ['a1', 'bad']));
    }
    clock.advance(SETTLED_MS);
    expect(watch.findBlocked(createRequest(8, 'sound', ['a1']))).to.equal(undefined);
    expect(watch.findBlocked(createRequest(8, 'other', ['a1', 'bad']))).to.equal('bad');
  });

  // Each of several hundred entries would tell all others the same.
  it('tells that a part is sound in turn, unless another entry has told it', () => {
    const parts = ['a1', 'b2', 'c3', 'd4', 'e5', 'f6'];
    const isSecond = (part: string) => rankNames(part, ['entry-0', 'entry-1'])[1] === 'entry-0';
    const part = parts.find(isSecond)!;
    for (const isTold of [false, true]) {
      const { clock, watch, sent, createRequest } = createWatch();
      const sound = { ...createRequest(9, 'sound', [part]), outputAt: clock.now() };
      watch.recordOutput(sound);
      clock.advance(SOUND_MS);
      const message = { ...EVIDENCE, parts: [part], crashes: ['s1@1'] };
      watch.receive('entry-1', message);
      if (isTold) watch.receive('entry-1', { ...message, refuted: ['s1@1'] });
      clock.advance(SETTLED_MS);
      expect(sent.flatMap(({ refuted }) => refuted)).to.deep.equal(isTold ? [] : ['s1@1']);
    }
  });

  // Crashes under other requests confirmed whatever was tried at the time.
  it('confirms a suspect only by the loss of the request that tried it', () => {
    const { clock, watch, createRequest } = createWatch();
    for (const server of [1, 2, 3]) watch.recordLoss(createRequest(server, `d${server}`, ['a1']));
    clock.advance(FOUND_MS);
    watch.recordTrial('a1');
    watch.recordLoss(createRequest(4, 'd4', ['a1']));
    clock.advance(FOUND_MS);
    expect(watch.isConfirmed('a1')).to.equal(false);
    watch.recordTrial('a1');
    watch.recordLoss({ ...createRequest(5, 'd5', ['a1']), triedSuspect: 'a1' });
    clock.advance(FOUND_MS);
    expect(watch.isConfirmed('a1')).to.equal(true);
  });

  // A shared part was on trial at a server that another entry's request ended. The part was
  // confirmed, and each sound request with it was refused for good.
  it('confirms a part only if each entry lost nothing else with the server of the trial', () => {
    const cases: Readonly<Record<string, (entry: ReturnType<typeof createWatch>) => void>> = {
      'nothing else': () => undefined,
      'another part at another entry': ({ state }) => {
        state.peerAnswer = { parts: ['c4a5'], isComplete: true };
      },
      'another part at this entry': ({ watch, createRequest }) =>
        watch.recordLoss(createRequest(4, 'd8', ['c4a5'])),
      'a request whose end is unknown at another entry': ({ state }) => {
        state.peerAnswer = { parts: [], isComplete: false };
      },
      'an entry that does not answer': ({ state }) => {
        state.peerAnswer = undefined;
      },
      'an entry that was gone and is back': ({ watch }) => {
        watch.dropPeer();
        watch.sendAll('entry-1');
      },
      'a request that was stopped': ({ watch, createRequest }) =>
        watch.cancel(createRequest(4, 'd8'), true),
      'a request at work': ({ state, createRequest }) => {
        state.sent = [createRequest(4, 'd8')];
      },
    };
    for (const [name, prepare] of Object.entries(cases)) {
      const entry = createWatch();
      const { clock, watch, createRequest } = entry;
      for (const server of [1, 2, 3]) watch.recordLoss(createRequest(server, `d${server}`, ['a1']));
      clock.advance(FOUND_MS);
      watch.recordTrial('a1');
      prepare(entry);
      watch.recordLoss({ ...createRequest(4, 'd4', ['a1']), triedSuspect: 'a1' });
      clock.advance(FOUND_MS);
      expect(watch.isConfirmed('a1'), name).to.equal(name === 'nothing else');
    }
  });

  // An entry answered before it had seen that its own connection to the server was lost.
  it('answers with what it lost with the server of a trial', () => {
    const { clock, watch, sent, state, createRequest } = createWatch();
    const asked = { ...EVIDENCE, crashes: ['s4@1'], askedCrash: 's4@1' };
    const findAnswer = () => sent.find(({ answeredCrash }) => answeredCrash === 's4@1');
    state.isRefused = false;
    watch.receive('entry-1', asked);
    watch.recordLoss(createRequest(4, 'd4', ['c4a5']));
    clock.advance(SETTLED_MS);
    expect(findAnswer()?.isComplete).to.equal(true);
    expect(findAnswer()?.parts).to.have.members(['a1', 'c4a5', 'request:d4']);
    sent.length = 0;
    state.sent = [createRequest(4, 'd5')];
    watch.receive('entry-1', asked);
    clock.advance(SETTLED_MS);
    expect(findAnswer()?.isComplete).to.equal(false);
  });

  // A request with the part that crashes servers was sent as the trial of a part that all share.
  it('tries a part later by a request with another suspected part that is answered less', () => {
    const { clock, watch, createRequest } = createWatch();
    watch.recordAnswer(createRequest(9, 'd9', ['a1']), true);
    for (const server of [1, 2, 3]) watch.recordLoss(createRequest(server, `d${server}`, ['a1']));
    watch.recordLoss(createRequest(3, 'd4', ['a1', 'c4a5']));
    clock.advance(FOUND_MS);
    const isDue = (parts: string[]) => watch.isTrialDue('a1', createRequest(9, 'd8', parts));
    expect([isDue(['a1', 'c4a5']), isDue(['a1', 'd2'])]).to.deep.equal([false, true]);
  });

  // A request that was blocked itself was sent as the trial of a part of its prompt.
  it('tries a request only where a trial of all its blocked suspects is due', () => {
    const { clock, watch, createRequest } = createWatch();
    const bad = createRequest(9, 'bad', ['a1']);
    for (const server of [1, 2, 3]) watch.recordLoss(createRequest(server, 'bad', ['a1']));
    for (const server of [4, 5, 6, 7]) {
      watch.recordLoss(createRequest(server, `d${server}`, ['a1']));
    }
    clock.advance(FOUND_MS);
    watch.recordTrial('request:bad');
    clock.advance(FOUND_MS);
    expect(watch.isTrialDue('a1', createRequest(9, 'd8', ['a1']))).to.equal(true);
    expect(watch.findBlocked(bad)).to.equal('request:bad');
    expect(watch.isTrialDue('request:bad', bad)).to.equal(false);
  });

  // A request that had crashed two servers was sent as the trial of a shared part. It crashed the
  // next one, and each sound request with the part was refused for good.
  it('tries a part later by a request that was itself lost with a crashed server', () => {
    const { clock, watch, createRequest } = createWatch();
    for (const server of [1, 2]) watch.recordLoss(createRequest(server, 'bad', ['a1']));
    watch.recordLoss(createRequest(3, 'd3', ['a1']));
    clock.advance(FOUND_MS);
    const isDue = (digest: string) => watch.isTrialDue('a1', createRequest(9, digest, ['a1']));
    expect([isDue('bad'), isDue('d3'), isDue('d8')]).to.deep.equal([false, false, true]);
    expect(watch.findBlocked(createRequest(9, 'bad', ['a1']))).to.equal('a1');
    clock.advance(LOST_TRIAL_DELAY_MS);
    expect(isDue('bad')).to.equal(true);
  });

  // Entries are replaced one by one, so that those of the build before send messages meanwhile.
  it('reads the evidence of entries of an earlier build', () => {
    const { clock, watch, createRequest } = createWatch();
    const message = { ...EVIDENCE, crashes: ['s1@1 s2@1 s3@1'] };
    expect(checkMessage(message)).to.equal(undefined);
    watch.receive('entry-1', message);
    clock.advance(SETTLED_MS);
    expect(watch.findBlocked(createRequest(9, 'd1', ['a1']))).to.equal('a1');
  });

  // Three engines had ended under a part and two under a whole request, and sound requests that
  // share another part with these were ended with 502 at work on a sound server.
  it('leaves requests at work whose part was answered of late', () => {
    const { clock, watch, createRequest } = createWatch();
    clock.advance(LEARNING_MS);
    watch.recordAnswer(createRequest(9, 'd9', ['a1']), true);
    // What ends with its connection may have been cut off by a crash.
    watch.recordAnswer(createRequest(9, 'd9', ['c4a5']), false);
    const crashes = ['s1@1 s2@1 s3@1 s4@1 s5@1', 's1@1 s2@1 s3@1', 's4@1 s5@1'];
    const parts = ['a1', 'c4a5', 'request:bad'];
    const counts = [0, 0, 0];
    watch.receive('entry-1', {
      ...EVIDENCE,
      parts,
      crashes,
      refuted: ['', '', ''],
      trials: counts,
    });
    clock.advance(SETTLED_MS);
    const findEnd = (requestParts: string[], wasSent = true): unknown => {
      const ends: string[] = [];
      const running = { attempt: { wasSent: () => wasSent }, sent: {} } as RunningAttempt;
      const attempts = new Set([running]);
      const state = {
        parts: requestParts,
        digest: 'd8',
        attempts,
        sentCount: 1,
        possibleRuns: 0,
        incoming: { metadata: {} },
        route: {},
      };
      const guard = createCrashGuard({
        crashWatch: watch,
        withdraw: () => undefined,
        stopAttempt: (_state, each) => attempts.delete(each),
        refuse: (_state, { kind }) => ends.push(kind),
        fail: (_state, { kind }) => ends.push(kind),
      });
      expect(guard.refuseBlocked(state as unknown as RequestState)).to.equal(true);
      return ends[0];
    };
    expect(findEnd(['a1', 'd2'])).to.equal(undefined);
    expect(findEnd(['a1', 'd2'], false)).to.equal(ErrorKind.PromptSuspected);
    expect(findEnd(['a1', 'c4a5'])).to.equal(ErrorKind.OutcomeUnknown);
  });

  // All entries had been killed. Two causes ended servers before an answer was seen, and requests
  // at work were ended with 502 for a part that all of them share.
  it('takes no part for unanswered until it has been up for a time, unless a trial failed', () => {
    const { clock, watch } = createWatch();
    const message = { ...EVIDENCE, parts: ['a1', 'c4a5'], crashes: ['s1@1', 's2@1'] };
    const rest = { refuted: ['', ''], trials: [1, 1], failedTrials: [0, 1] };
    watch.receive('entry-1', { ...message, ...rest });
    clock.advance(LEARNING_MS - 1);
    expect(['a1', 'c4a5'].map(watch.isAnswered)).to.deep.equal([true, false]);
    clock.advance(1);
    expect(watch.isAnswered('a1')).to.equal(false);
  });

  // Callers that vary their bodies would fill the memory and the links of all entries.
  it('stays bounded in memory and messages when a whole service crashes', () => {
    const { clock, watch, sent, createRequest, recordLosses } = createWatch();
    recordLosses([1, 2, 3], 'bad');
    const before = sent.length;
    for (let server = 10; server < CRASHED_SERVERS + 10; server += 1) {
      for (let index = 0; index < LOST_REQUESTS; index += 1) {
        watch.recordLoss(createRequest(server, `${server}-${index}`, [`${server}-${index}`]));
      }
      clock.advance(STORM_MS / CRASHED_SERVERS);
    }
    clock.advance(SETTLED_MS);
    const messages = sent.slice(before);
    const maxMessages = (MAX_MESSAGES_PER_S * (STORM_MS + SETTLED_MS)) / 1_000;
    expect(messages.length).to.be.at.most(maxMessages);
    for (const { parts } of messages) expect(parts.length).to.be.at.most(MAX_SUSPECTS_PER_MESSAGE);
    sent.length = 0;
    watch.sendAll('entry-1');
    expect(sent[0]!.parts.length).to.be.at.most(MAX_SUSPECTS_PER_MESSAGE + 1);
    expect((watch.dump() as { known: number }).known).to.be.at.most(MAX_KNOWN);
    expect(watch.findBlocked(createRequest(9, 'bad'))).to.equal('request:bad');
  });
});
