/** Observes a cluster and injects a cell's fault once, when the subject reaches the cell's step. */
import { createHash } from 'node:crypto';
import { EngineStage } from '@masticbend/standins/engine';
import { ServiceStage } from '@masticbend/standins/service';
import { waitFor } from '@masticbend/standins/http';
import type { Message } from '@masticbend/protocol/message';
import { hashTestRequest, OUTPUT_TOKENS, type TestRequest } from './caller.js';
import { SERVICES, type Cluster, type ClusterWatcher } from './cluster.js';
import { Fault, isStreamStep, TriggerPoint, Step, type Cell } from './matrix.js';
import {
  applyBackendFault,
  applyFault,
  FREEZE_MS,
  getRelayAction,
  getTableAction,
  SLOW_DELAY_MS,
  type FaultTarget,
} from './fault-effects.js';

/** Name of the subject's client account, which identifies its messages. */
const SUBJECT_ACCOUNT = 'subject';

/** A trigger set on a cluster. */
export interface Trigger {
  watcher: ClusterWatcher;
  /** Injects a fault on the caller's side, while the request is being sent. */
  injectAtCaller: () => void;
  /** Resolves when the fault has been injected. */
  injected: Promise<void>;
}

/** Returns a trigger for a cell; the subject is sent to `entry`. */
export function createTrigger(
  cell: Cell,
  cluster: Cluster,
  entry: FaultTarget['entry'],
  subject: TestRequest,
): Trigger {
  const { step, fault, triggerPoint } = cell;
  const digest = hashTestRequest(subject);
  const rowKey = createHash('sha256')
    .update(JSON.stringify([SUBJECT_ACCOUNT, subject.marker]))
    .digest('hex');
  const state = { request: '', backend: SERVICES[0] as string, chunkCount: 0, isInjected: false };
  let reportInjected = (): void => undefined;
  const injected = new Promise<void>((resolve) => {
    reportInjected = resolve;
  });

  function tryInject(at: TriggerPoint): boolean {
    if (state.isInjected || at !== triggerPoint) return false;
    state.isInjected = true;
    applyFault(fault, { cluster, entry, backend: state.backend });
    reportInjected();
    return true;
  }

  function isStepMessage(message: Message): boolean {
    if (!('request' in message) || message.request !== state.request) return false;
    if (message.kind === 'data') state.chunkCount += 1;
    if (isStreamStep(step)) {
      return message.kind === 'data' && isStepChunk(step, state.chunkCount, message.data);
    }
    if (step === Step.Answer) return message.kind === 'end';
    return message.kind === step;
  }

  const watcher: ClusterWatcher = {
    onMessage(agent, message) {
      if (message.kind === 'reserve' && message.work.account === SUBJECT_ACCOUNT) {
        state.request = message.request;
        state.backend = agent;
      }
      if (message.kind === 'grant' && message.request === state.request) state.backend = agent;
      if (!isStepMessage(message)) return { kind: 'pass' };
      if (step !== Step.Reserve) state.backend = agent;
      return tryInject(TriggerPoint.Mesh) ? getRelayAction(fault) : { kind: 'pass' };
    },
    onTransaction(writes) {
      const write = writes.find(({ key }) => key === rowKey);
      if (!write) return { kind: 'pass' };
      const expectsOutcome = step === Step.RecordOutcome;
      if ((write.value?.outcome !== undefined) !== expectsOutcome) return { kind: 'pass' };
      return tryInject(TriggerPoint.Table) ? getTableAction(fault) : { kind: 'pass' };
    },
    async onBooking(stage, reference, agent) {
      if (reference !== subject.marker || stage !== ServiceStage.Received) return;
      state.backend = agent;
      if (!tryInject(TriggerPoint.Service)) return;
      applyBackendFault(fault, { cluster, entry, backend: agent });
      if (fault === Fault.Slow) await waitFor(SLOW_DELAY_MS);
      if (fault === Fault.BackendFrozen) await waitFor(FREEZE_MS);
    },
    onEngineStage(stage, callDigest, agent) {
      if (callDigest !== digest || stage !== findEngineStage(step)) return;
      state.backend = agent;
      tryInject(TriggerPoint.Engine);
    },
  };
  return { watcher, injectAtCaller: () => tryInject(TriggerPoint.Caller), injected };
}

function isStepChunk(step: Step, chunkCount: number, data: Uint8Array): boolean {
  if (step === Step.FirstByte) return chunkCount === 1;
  if (step === Step.MidStream) return chunkCount === Math.floor(OUTPUT_TOKENS / 2);
  return Buffer.from(data).includes('[DONE]');
}

function findEngineStage(step: Step): EngineStage | undefined {
  if (step === Step.FirstByte) return EngineStage.FirstToken;
  if (step === Step.MidStream) return EngineStage.HalfTokens;
  return step === Step.LastByte ? EngineStage.LastToken : undefined;
}
