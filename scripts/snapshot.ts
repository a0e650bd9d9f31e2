/** Registers the snapshot assertions with chai for all suites. */
import { use } from 'chai';
import { jestSnapshotPlugin } from 'mocha-chai-jest-snapshot';

use(jestSnapshotPlugin());
