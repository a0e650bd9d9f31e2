/** Rows of the store that hold the records of software versions. */
import {
  parseJson,
  readAmount,
  readFields,
  readFieldsList,
  readInteger,
  readName,
  readText,
} from '@masticbend/platform/decode';
import type { VersionRecord } from '@masticbend/scheduling/version-record';

/** A record as the store holds it. */
export interface StoredRecord {
  /** Undefined where the row cannot be decoded. */
  record?: VersionRecord;
  revision: number;
  /** Era of the store in which the row was read or written. */
  era: number;
}

export function encodeVersionRecord(record: VersionRecord): Buffer {
  return Buffer.from(JSON.stringify(record));
}

/** Decodes a record. Returns undefined when a field is missing or invalid. */
export function decodeVersionRecord(bytes: Buffer): VersionRecord | undefined {
  const fields = readFields(parseJson(bytes));
  const era = readInteger(fields?.era);
  const incompleteUntil = readAmount(fields?.incompleteUntil);
  if (!fields || era === undefined || incompleteUntil === undefined) return undefined;
  const versions = readFieldsList(fields.versions).map((each) => ({
    version: readName(each.version),
    leftAt: readAmount(each.leftAt),
  }));
  if (versions.some(({ version }) => version === undefined)) return undefined;
  const routes = readFieldsList(fields.routes).map((each) => ({
    route: readText(each.route) ?? '',
    since: readAmount(each.since) ?? Infinity,
  }));
  return {
    era,
    incompleteUntil,
    configuration: readInteger(fields.configuration) ?? 0,
    routes,
    versions: versions.map(({ version, leftAt }) =>
      leftAt === undefined ? { version: version! } : { version: version!, leftAt },
    ),
  };
}
