#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are plain modules for Node without dependencies;
# the programs under test come from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
for file in *-3.mjs 1[1-5]/case.mjs added-entry.mjs; do
  node --check "$file"
done
