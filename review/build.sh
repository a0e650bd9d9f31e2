#!/usr/bin/env bash
# Builds the stand-ins of the scripts: plain modules that need nothing but Node, so that a check of
# their syntax is all there is to do.
set -eu
cd "$(dirname "$0")"
for file in *.mjs [1-5]/*.mjs; do
  node --check "$file"
done
