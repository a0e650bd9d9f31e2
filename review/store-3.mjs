// A stand-in of the platform's metadata store: tables of rows, transactions under conditions and
// the feed of changes, as PROTOCOL.md describes them.
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

/** Time that a call takes, in milliseconds. */
const CALL_MS = 3;
/** Rows of one answer. */
const PAGE_ROWS = 500;
/** Tables that only the operator and the workers write. */
const OPERATOR_TABLES = new Set(['op', 'servers']);

function formatKey(part, key) {
  return JSON.stringify([part, key]);
}

/**
 * Starts a store at `host:port`. `onRead` is called after each read of rows with the table and the
 * address that the call came to.
 */
export async function startStore(host, port, onRead = () => undefined) {
  const startedAt = performance.now();
  const tables = new Map();
  const waiting = new Set();
  const sockets = new Set();
  const servers = [];
  let version = 0;

  function getTable(name) {
    if (!tables.has(name)) tables.set(name, new Map());
    return tables.get(name);
  }

  function findRow({ table, part = '', key }) {
    const row = getTable(table).get(formatKey(part, key));
    return row?.deleted ? undefined : row;
  }

  function describeState() {
    return { row_version: version, now_ms: Math.round(performance.now() - startedAt) };
  }

  function apply({ writes = [], remove = [] }) {
    version += 1;
    const changes = [
      ...writes.map((row) => ({ ...row, deleted: false })),
      ...remove.map((row) => ({ ...row, value: '', deleted: true })),
    ];
    for (const { table, part = '', key, value, deleted } of changes) {
      const row = { table, part, key, value, row_version: version, ...(deleted && { deleted }) };
      getTable(table).set(formatKey(part, key), row);
    }
    for (const check of [...waiting]) check();
    return version;
  }

  function listChanges(table, after) {
    const changed = [...getTable(table).values()].filter((row) => row.row_version > after);
    return changed.sort((left, right) => left.row_version - right.row_version);
  }

  function answer(call, status, body) {
    const rows = body.rows?.map(call.translate);
    const text = JSON.stringify(rows ? { ...body, rows } : body);
    call.response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    call.response.end(text);
  }

  function readFeed(call) {
    const table = call.query.get('table');
    const after = Number(call.query.get('after_revision'));
    const wait = { check: () => undefined, timer: undefined };
    const stopWaiting = () => {
      waiting.delete(wait.check);
      clearTimeout(wait.timer);
    };
    const finish = (rows) => {
      stopWaiting();
      answer(call, 200, { rows, ...describeState() });
    };
    wait.check = () => {
      const rows = listChanges(table, after);
      if (rows.length > 0) finish(rows);
    };
    wait.timer = setTimeout(() => finish([]), Number(call.query.get('wait_ms') ?? 0));
    waiting.add(wait.check);
    call.response.on('close', stopWaiting);
    wait.check();
  }

  function readRows(call) {
    const { query } = call;
    const table = query.get('table');
    const part = query.get('part') ?? '';
    const from = query.get('from') ?? '';
    const to = query.get('to');
    const rows = [...getTable(table).values()].filter(
      (row) =>
        !row.deleted && row.part === part && row.key >= from && (to === null || row.key < to),
    );
    rows.sort((left, right) => (left.key < right.key ? -1 : 1));
    const limit = Math.min(PAGE_ROWS, Number(query.get('limit') ?? PAGE_ROWS));
    answer(call, 200, {
      rows: rows.slice(0, limit),
      has_more: rows.length > limit,
      ...describeState(),
    });
    onRead(table, call.address);
  }

  function writeRows(call, { expected_revision: expected = [], writes = [], remove = [] }) {
    if ([...writes, ...remove].some(({ table }) => OPERATOR_TABLES.has(table))) {
      answer(call, 403, {});
    } else if (expected.some((row) => (findRow(row)?.row_version ?? 0) !== row.row_version)) {
      const rows = expected.map(findRow).filter((row) => row !== undefined);
      answer(call, 412, { rows, ...describeState() });
    } else {
      apply({ writes, remove });
      answer(call, 200, describeState());
    }
  }

  function handleCall(call, pathname, body) {
    if (pathname === '/v1/rows-get') readRows(call);
    else if (pathname === '/v1/rows-feed') readFeed(call);
    else if (pathname === '/v1/rows-tx') writeRows(call, JSON.parse(body));
    else answer(call, 404, {});
  }

  /** Listens at an address, at which each row is passed through `translate`. */
  async function addAddress(ownHost, ownPort, translate = (row) => row) {
    const address = `${ownHost}:${ownPort}`;
    const server = createServer((request, response) => {
      const { pathname, searchParams: query } = new URL(request.url, 'http://store');
      const call = { response, query, address, translate };
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => {
        setTimeout(() => handleCall(call, pathname, Buffer.concat(chunks).toString()), CALL_MS);
      });
    });
    server.on('connection', (socket) => {
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
    });
    servers.push(server);
    await new Promise((resolve) => {
      server.listen(ownPort, ownHost, resolve);
    });
    return address;
  }

  const address = await addAddress(host, port);
  return {
    address,
    addAddress,
    /** Writes a row as the operator or a worker; returns its version, which confirms it. */
    put: (table, key, value) =>
      apply({
        writes: [{ table, key, value: Buffer.from(JSON.stringify(value)).toString('base64') }],
      }),
    remove: (table, key) => apply({ remove: [{ table, key }] }),
    close() {
      for (const server of servers) server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}
