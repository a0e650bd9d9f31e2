/**
 * The administration API of an entry: returns the configuration, its history and the instances, and
 * accepts edits from the teams that own the edited sections.
 */
import type { App, Request, Response } from '@tinyhttp/app';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import type { EditResult, ProposedEdit } from '@masticbend/state/configuration-editor';
import type {
  ConfigurationReplica,
  CurrentRevision,
} from '@masticbend/state/configuration-replica';
import type { EditRecord } from '@masticbend/state/configuration-store';
import { createFailureAnswer, ErrorKind, type Failure } from '@masticbend/protocol/error';
import { checkConfiguration, type Configuration } from '@masticbend/settings/configuration';
import { applyOperations, formatDocument, type Operation } from '@masticbend/settings/document';
import {
  buildOperations,
  checkDrain,
  checkEdit,
  checkProposal,
} from '@masticbend/settings/edit-request';
import { hideDocumentHashes, hideHashes, resolveHashes } from '@masticbend/settings/redaction';
import { Section } from '@masticbend/settings/section';
import { findTeam, listOwners } from './administration-access.js';
import { readJsonBody, type BodyResult } from './administration-body.js';
import type { ConfigurationSync } from './configuration.js';
import type { InstanceView } from './instance-registry.js';

/** Number of edits the history returns by default. */
const DEFAULT_HISTORY_LENGTH = 20;
/** Maximum number of edits the history returns. */
const MAX_HISTORY_LENGTH = 200;

/** Dependencies of the administration API. */
export interface AdministrationOptions {
  log: Logger;
  replica: ConfigurationReplica;
  sync: ConfigurationSync;
  listInstances: (configuration: Configuration) => InstanceView[];
}

/** An authenticated call, with the configuration revision in force at its start. */
interface Call {
  request: Request;
  response: Response;
  team: string;
  current: CurrentRevision;
}

/** Adds the routes to an administration server. */
export function addAdministrationRoutes(app: App, options: AdministrationOptions): void {
  const { log, replica, sync, listInstances } = options;

  function handle(run: (call: Call) => Promise<void> | void) {
    return async (request: Request, response: Response): Promise<void> => {
      const current = replica.getCurrent();
      if (!current) {
        sendFailure(response, { kind: ErrorKind.ConfigurationUnavailable });
        return;
      }
      const team = findTeam(current.configuration, request.headers.authorization);
      if (team === undefined) {
        sendFailure(response, { kind: ErrorKind.Unauthenticated });
        return;
      }
      log.info(LogEvent.AdministrationCall, { team, method: request.method, path: request.path });
      try {
        await run({ request, response, team, current });
      } catch (error) {
        log.error(LogEvent.RequestFailed, { path: request.path, error: (error as Error).message });
        sendFailure(response, { kind: ErrorKind.Internal });
      }
    };
  }

  async function commitEdit(call: Call, edit: Omit<ProposedEdit, 'team'>): Promise<void> {
    const { response, team, current } = call;
    const { section } = edit.operations[0]!;
    if (!listOwners(current.configuration, section).includes(team)) {
      sendFailure(response, { kind: ErrorKind.Forbidden });
      return;
    }
    const operations = resolveHashes(edit.operations, current.document);
    const result = await sync.submitEdit({ ...edit, team, operations });
    if (result.kind !== 'committed') {
      sendRefusal(response, result);
      return;
    }
    const { accepted, holders, record } = result;
    response
      .status(accepted ? 200 : 202)
      .json({ accepted, revision: record.revision, editId: record.editId, holders });
  }

  app.get(
    '/configuration',
    handle(({ response, current }) => {
      const text = formatDocument(hideDocumentHashes(current.document));
      response.json({ revision: current.revision, digest: current.digest, text });
    }),
  );

  app.get(
    '/configuration/sections/:name',
    handle(({ request, response, current }) => {
      const section = Object.values(Section).find((known) => known === request.params.name);
      if (!section) {
        sendFailure(response, { kind: ErrorKind.NotFound });
        return;
      }
      const values = hideHashes({ ...current.document[section] });
      const owners = listOwners(current.configuration, section);
      response.json({ revision: current.revision, section, owners, values });
    }),
  );

  app.post(
    '/configuration/edits',
    handle(async (call) => {
      const body = await readJsonBody(call.request, checkEdit);
      if (!body.ok) {
        sendBodyFailure(call.response, body);
        return;
      }
      const { editId, author, against } = body.value;
      const operations = buildOperations(body.value);
      await commitEdit(call, { editId, author, against, operations });
    }),
  );

  app.post(
    '/configuration/validate',
    handle(async ({ request, response, current }) => {
      const body = await readJsonBody(request, checkProposal);
      if (!body.ok) {
        sendBodyFailure(response, body);
        return;
      }
      const operations = resolveHashes(buildOperations(body.value), current.document);
      const result = checkConfiguration(applyOperations(current.document, operations));
      const faults = result.ok ? [] : result.faults;
      response.json({ valid: result.ok, revision: current.revision, faults });
    }),
  );

  app.get(
    '/configuration/history',
    handle(async ({ request, response, current }) => {
      const requestedLimit = Number(request.query.limit ?? DEFAULT_HISTORY_LENGTH);
      const limit = Math.min(
        MAX_HISTORY_LENGTH,
        requestedLimit > 0 ? Math.floor(requestedLimit) : DEFAULT_HISTORY_LENGTH,
      );
      const edits = await sync.store
        .readEditsAfter(Math.max(0, current.revision - limit))
        .catch(() => undefined);
      if (!edits) {
        sendFailure(response, { kind: ErrorKind.PlatformUnavailable });
        return;
      }
      const records = edits.map(describeRecord).reverse();
      response.json({ revision: current.revision, edits: records });
    }),
  );

  app.get(
    '/instances',
    handle(({ response, current }) => {
      response.json({
        revision: current.revision,
        instances: listInstances(current.configuration),
      });
    }),
  );

  app.post(
    '/backend-servers/:name/drain',
    handle(async (call) => {
      const name = call.request.params.name!;
      const server = call.current.document.backendServers?.[name];
      const body = await readJsonBody(call.request, checkDrain);
      if (!server) sendFailure(call.response, { kind: ErrorKind.NotFound });
      else if (!body.ok) sendBodyFailure(call.response, body);
      else {
        const { draining, editId, author } = body.value;
        const value = { ...(server as object), draining };
        const operations: Operation[] = [{ section: Section.BackendServers, key: name, value }];
        await commitEdit(call, { editId, author, against: call.current.revision, operations });
      }
    }),
  );
}

/** Sends the answer of the error table, with additional fields for operators. */
function sendFailure(response: Response, failure: Failure, fields: object = {}): void {
  const { status, headers, body } = createFailureAnswer(failure);
  response.writeHead(status, headers);
  response.end(JSON.stringify({ ...body, ...fields }));
}

function sendBodyFailure(response: Response, body: Extract<BodyResult<unknown>, { ok: false }>) {
  if (body.failure.kind === ErrorKind.BodyTooLarge) response.setHeader('connection', 'close');
  sendFailure(response, body.failure);
}

function sendRefusal(response: Response, result: Exclude<EditResult, { kind: 'committed' }>): void {
  if (result.kind === 'failed') {
    sendFailure(response, result.failure);
    return;
  }
  const { revision } = result;
  const edits = result.edits.map(describeRecord);
  if (result.kind === 'conflict') {
    sendFailure(response, { kind: ErrorKind.RevisionConflict }, { revision, edits });
    return;
  }
  const detail = 'The document would be invalid.';
  const { faults } = result;
  sendFailure(response, { kind: ErrorKind.InvalidRequest, detail }, { revision, faults, edits });
}

function describeRecord(record: EditRecord): EditRecord {
  const operations = record.operations.map((operation) =>
    operation.value === undefined
      ? operation
      : { ...operation, value: hideHashes({ value: operation.value }).value },
  );
  return { ...record, operations };
}
