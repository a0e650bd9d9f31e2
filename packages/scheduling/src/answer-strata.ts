/**
 * Strata of answers: counts of both versions on one route, from one process, over a short time. A
 * stratum is closed after a time if it has enough answers of the old version. Processes with little
 * traffic on a route share a stratum, as the counts of each alone decide nothing; those with much
 * have their own, as the new version's part of their requests is smaller.
 *
 * Answers of the new version are held back until the old version has answered again. Otherwise a
 * disruption in the shift, when only the new version gets requests, would be compared with the old
 * version's answers before it.
 */
import { addTable, computeRatios, createTable, type AnswerTable } from './rate-comparison.js';

/** Time after which a stratum is closed, and the answers of old versions that it needs. */
const STRATUM_MS = 250;
const MIN_STRATUM_ANSWERS = 10;
/** Answers of old versions within the time from which a process has strata of its own. */
const BUSY_ANSWERS = 10;
const BUSY_MS = 500;

/** Stands between the parts of a key; names do not contain it. */
const SEPARATOR = '\u0000';
/** Held answers that are dropped together, so that those of a shift do not stay for long. */
const MAX_HELD = 200;

/** Answers that are compared with each other only. */
export interface Stratum {
  route: string;
  openedAt: number;
  table: AnswerTable;
  /** Logarithms of the likelihood ratios of the table; undefined after a change. */
  ratios?: number[];
}

/** A stratum with its likelihood ratios. */
export type RatedStratum = Required<Stratum>;

/** Open strata. Times are in milliseconds. */
export interface AnswerStrata {
  add: (now: number, source: string, route: string, table: AnswerTable) => void;
  /** Closes strata that are due and returns them. */
  takeClosed: (now: number) => RatedStratum[];
  listOpen: () => RatedStratum[];
}

interface Flow {
  oldAnswers: number;
  countedFrom: number;
  isBusy: boolean;
}

/** Returns a collection without strata. */
export function createAnswerStrata(): AnswerStrata {
  const flows = new Map<string, Flow>();
  const strata = new Map<string, Stratum>();
  /** Answers of the new version that are held back. */
  const held = new Map<string, AnswerTable>();

  function isBusy(now: number, key: string, table: AnswerTable): boolean {
    const flow = flows.get(key) ?? { oldAnswers: 0, countedFrom: now, isBusy: false };
    flows.set(key, flow);
    if (now - flow.countedFrom >= BUSY_MS) Object.assign(flow, { oldAnswers: 0, countedFrom: now });
    flow.oldAnswers += table.oldGood + table.oldBad;
    flow.isBusy ||= flow.oldAnswers >= BUSY_ANSWERS;
    return flow.isBusy;
  }

  /** Adds answers to the held ones; returns those of the new version that can be compared. */
  function takeComparable(key: string, table: AnswerTable): AnswerTable {
    const all = held.get(key) ?? createTable();
    addTable(all, table);
    const { newGood, newBad, oldGood, oldBad } = all;
    const isComparable = oldGood + oldBad > 0;
    if (isComparable || newGood + newBad > MAX_HELD) held.delete(key);
    else held.set(key, all);
    return { ...createTable(), ...(isComparable && { newGood, newBad }) };
  }

  return {
    add(now, source, route, table) {
      const flowKey = `${route}${SEPARATOR}${source}`;
      const key = isBusy(now, flowKey, table) ? flowKey : route;
      const stratum = strata.get(key) ?? {
        route,
        openedAt: now,
        table: createTable(),
      };
      strata.set(key, stratum);
      const { oldGood, oldBad } = table;
      addTable(stratum.table, { ...createTable(), oldGood, oldBad });
      addTable(stratum.table, takeComparable(key, table));
      stratum.ratios = undefined;
    },
    takeClosed(now) {
      const closed = [...strata].filter(
        ([, { openedAt, table }]) =>
          now - openedAt >= STRATUM_MS && table.oldGood + table.oldBad >= MIN_STRATUM_ANSWERS,
      );
      for (const [key] of closed) strata.delete(key);
      return closed.map(([, stratum]) => updateRatios(stratum));
    },
    listOpen: () => [...strata.values()].map(updateRatios),
  };
}

function updateRatios(stratum: Stratum): RatedStratum {
  stratum.ratios ??= computeRatios(stratum.table);
  return stratum as RatedStratum;
}
