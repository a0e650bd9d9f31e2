/**
 * Measures the scheduling policies on virtual time:
 * `npm run measure -- --seed N [--json] [--quick]`.
 * Every policy of a cell gets the same arrivals; the same seed gives the same results.
 */
import meow from 'meow';
import { measurePolicies } from './policy/measurement.js';
import { formatMeasurement } from './policy/report.js';

const cli = meow(
  `
  Usage
    npm run measure -- [--seed N] [--quick] [--json]

  Options
    --seed   Number that fixes the arrivals and every random choice (default 1)
    --quick  Fewer cells and shorter runs
    --json   Print the figures as JSON
  `,
  {
    importMeta: import.meta,
    flags: {
      seed: { type: 'number', default: 1 },
      quick: { type: 'boolean', default: false },
      json: { type: 'boolean', default: false },
    },
  },
);

const measurement = measurePolicies(cli.flags.seed, cli.flags.quick);
console.log(cli.flags.json ? JSON.stringify(measurement, null, 2) : formatMeasurement(measurement));
