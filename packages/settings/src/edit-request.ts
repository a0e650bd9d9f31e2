/** Schemas of the JSON requests by which operators edit the configuration. */
import { z } from 'zod';
import type { DocumentValue, Operation } from './document.js';
import { checkValue, type CheckResult } from './schema-fault.js';
import { Section } from './section.js';

/** Maximum number of operations in one edit. */
const MAX_OPERATIONS = 256;
const EDIT_ID_PATTERN = /^[A-Za-z0-9._-]{1,128}$/;
const MAX_AUTHOR_CHARACTERS = 128;

const operation = z.strictObject({
  /** Missing when the operation applies to the whole section. */
  key: z.string().min(1).max(64).optional(),
  /** `null` removes the key or the section. */
  value: z.json(),
});

const editId = z
  .string()
  .regex(EDIT_ID_PATTERN, 'expected 1 to 128 letters, digits, ".", "_" or "-"');
const author = z.string().min(1).max(MAX_AUTHOR_CHARACTERS);

const proposal = z.strictObject({
  section: z.enum(Section),
  against: z.int().min(0).optional(),
  operations: z.array(operation).min(1).max(MAX_OPERATIONS),
});

const edit = proposal.extend({ against: z.int().min(1), editId, author });

const drain = z.strictObject({ draining: z.boolean().default(true), editId, author });

/** Operations on one section, to be validated but not applied. */
export type ProposalRequest = z.output<typeof proposal>;
/** An edit: operations, the revision that they are based on, a unique id and the author. */
export type EditRequest = z.output<typeof edit>;
/** A request to stop or resume new work for a backend server. */
export type DrainRequest = z.output<typeof drain>;

/** Checks the body of a request to validate operations. */
export function checkProposal(value: unknown): CheckResult<ProposalRequest> {
  return checkValue(value, proposal);
}

/** Checks the body of a request to apply an edit. */
export function checkEdit(value: unknown): CheckResult<EditRequest> {
  return checkValue(value, edit);
}

/** Checks the body of a request to drain a backend server. */
export function checkDrain(value: unknown): CheckResult<DrainRequest> {
  return checkValue(value, drain);
}

/** Returns the operations of a checked proposal. */
export function buildOperations(proposed: ProposalRequest): Operation[] {
  return proposed.operations.map(({ key, value }) => ({
    section: proposed.section,
    ...(key === undefined ? {} : { key }),
    ...(value === null ? {} : { value: value as DocumentValue }),
  }));
}
