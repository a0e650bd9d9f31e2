/** Rows of the store in which the system keeps its own state of rollouts, one for each service. */
import {
  parseJson,
  readAmount,
  readFields,
  readInteger,
  readName,
  readText,
} from '@masticbend/platform/decode';
import { RolloutStatus } from '@masticbend/platform/rollout';

/** Table of the rows; the key is the service. */
export const ROLLOUTS_TABLE = 'rollouts';

/** Stages of an order; the last two are final. */
export const RolloutStage = {
  Trial: 'trial',
  Shift: 'shift',
  Complete: 'complete',
  RolledBack: 'rolled-back',
} as const;
export type RolloutStage = (typeof RolloutStage)[keyof typeof RolloutStage];

/** Revision of an order's row, and the era of the store in which it was read first. */
export interface OrderId {
  revision: number;
  era: number;
}

/** State of an order as the store holds it. */
export interface RolloutRow {
  order: OrderId;
  to: string;
  stage: RolloutStage;
  /** Time of the store at which the order was first recorded, in milliseconds. */
  startedAt: number;
  reason: string;
  /** Versions that were rolled back. */
  excluded: readonly string[];
}

const STAGES: ReadonlySet<unknown> = new Set(Object.values(RolloutStage));

export function isRolloutStage(value: unknown): value is RolloutStage {
  return STAGES.has(value);
}

/** Returns whether an order in this stage is over. */
export function isFinal(stage: RolloutStage | undefined): boolean {
  return stage === RolloutStage.Complete || stage === RolloutStage.RolledBack;
}

/** Orders two orders of a service by age; 0 for the same one. */
export function compareOrders(left: OrderId, right: OrderId): number {
  return left.era - right.era || left.revision - right.revision;
}

/** Returns the status that the operator reads for a stage. */
export function getStatus(stage: RolloutStage): RolloutStatus {
  if (stage === RolloutStage.Complete) return RolloutStatus.Complete;
  if (stage === RolloutStage.RolledBack) return RolloutStatus.RolledBack;
  return RolloutStatus.InProgress;
}

export function encodeRolloutRow({ order, ...row }: RolloutRow): Buffer {
  return Buffer.from(JSON.stringify({ ...row, order: order.revision, era: order.era }));
}

/** Decodes a row. Returns undefined when a field is missing or invalid. */
export function decodeRolloutRow(bytes: Buffer): RolloutRow | undefined {
  const fields = readFields(parseJson(bytes));
  const revision = readInteger(fields?.order);
  const era = readInteger(fields?.era);
  const to = readName(fields?.to);
  const startedAt = readAmount(fields?.startedAt);
  if (revision === undefined || era === undefined || startedAt === undefined) return undefined;
  if (to === undefined || !isRolloutStage(fields?.stage)) return undefined;
  const excluded = Array.isArray(fields.excluded) ? fields.excluded : [];
  return {
    order: { revision, era },
    to,
    stage: fields.stage,
    startedAt,
    reason: readText(fields.reason) ?? '',
    excluded: excluded.map(readName).filter((name) => name !== undefined),
  };
}
