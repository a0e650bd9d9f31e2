/**
 * The fault matrix: every step in the processing of a request combined with every fault. A cell is
 * either run, or listed with the reason why it is not possible.
 */

/** Steps in the processing of a request, in order. */
export const Step = {
  Accept: 'accept',
  Reserve: 'reserve',
  Claim: 'claim',
  Grant: 'grant',
  Record: 'record',
  BackendCall: 'backend-call',
  FirstByte: 'first-byte',
  MidStream: 'mid-stream',
  LastByte: 'last-byte',
  RecordOutcome: 'record-outcome',
  Answer: 'answer',
} as const;
export type Step = (typeof Step)[keyof typeof Step];

export const Fault = {
  EntryKilled: 'entry-killed',
  AgentKilled: 'agent-killed',
  BackendDown: 'backend-down',
  PlatformDown: 'platform-down',
  EntryFrozen: 'entry-frozen',
  AgentFrozen: 'agent-frozen',
  BackendFrozen: 'backend-frozen',
  PlatformFrozen: 'platform-frozen',
  ConnectionCut: 'connection-cut',
  AnswerLost: 'answer-lost',
  Slow: 'slow',
  Duplicated: 'duplicated',
  Crossed: 'crossed',
} as const;
export type Fault = (typeof Fault)[keyof typeof Fault];

/** Component at which a step is observed. */
export const TriggerPoint = {
  Caller: 'caller',
  Mesh: 'mesh',
  Table: 'table',
  Service: 'service',
  Engine: 'engine',
} as const;
export type TriggerPoint = (typeof TriggerPoint)[keyof typeof TriggerPoint];

/** A cell of the matrix. */
export interface Cell {
  step: Step;
  fault: Fault;
  /** Component whose event triggers the fault; missing in a cell that is not run. */
  triggerPoint?: TriggerPoint;
  /** Why the cell is not run. */
  reason?: string;
}

const STREAM_STEPS: readonly Step[] = [Step.FirstByte, Step.MidStream, Step.LastByte];

/** Returns whether the request under test is a streamed chat completion; else it is a booking. */
export function isStreamStep(step: Step): boolean {
  return STREAM_STEPS.includes(step);
}

/** Returns every cell, in the order of the steps. */
export function listCells(): Cell[] {
  return Object.values(Step).flatMap((step) =>
    Object.values(Fault).map((fault) => createCell(step, fault)),
  );
}

/** Returns the name of a cell, as accepted by `--only`. */
export function formatCell({ step, fault }: Cell): string {
  return `${step}/${fault}`;
}

function createCell(step: Step, fault: Fault): Cell {
  const reason = findSkipReason(step, fault);
  return reason === undefined
    ? { step, fault, triggerPoint: findTriggerPoint(step, fault) }
    : { step, fault, reason };
}

function findTriggerPoint(step: Step, fault: Fault): TriggerPoint {
  if (step === Step.Accept) return TriggerPoint.Caller;
  if (step === Step.Record || step === Step.RecordOutcome) return TriggerPoint.Table;
  if (step === Step.BackendCall) return TriggerPoint.Service;
  const isBackendFault = fault === Fault.BackendDown || fault === Fault.BackendFrozen;
  return isStreamStep(step) && isBackendFault ? TriggerPoint.Engine : TriggerPoint.Mesh;
}

function findSkipReason(step: Step, fault: Fault): string | undefined {
  if (fault === Fault.Crossed && step === Step.Accept) {
    return 'the caller has one request on its connection; nothing can cross it';
  }
  if (step === Step.BackendCall && (fault === Fault.Duplicated || fault === Fault.Crossed)) {
    return 'the connection to a backend server carries one call at a time and cannot repeat it';
  }
  return undefined;
}

/** Cells that continuous integration runs: one for each mechanism. */
const QUICK_CELLS: readonly string[] = [
  'accept/duplicated',
  'claim/slow',
  'grant/agent-killed',
  'backend-call/answer-lost',
  'backend-call/agent-killed',
  'mid-stream/connection-cut',
  'mid-stream/backend-down',
  'answer/entry-killed',
];

/** Returns whether continuous integration runs a cell. */
export function isQuickCell(cell: Cell): boolean {
  return QUICK_CELLS.includes(formatCell(cell));
}

/** Returns whether a cell applies to the naive proxy, which has neither agents nor a table. */
export function isNaiveProxyCell({ fault, triggerPoint }: Cell): boolean {
  const absentFaults: readonly Fault[] = [
    Fault.AgentKilled,
    Fault.AgentFrozen,
    Fault.PlatformDown,
    Fault.PlatformFrozen,
  ];
  return (
    triggerPoint !== TriggerPoint.Mesh &&
    triggerPoint !== TriggerPoint.Table &&
    !absentFaults.includes(fault)
  );
}
