#!/usr/bin/env bash
# The stand-ins are plain JavaScript without dependencies: nothing is compiled, only the syntax is checked.
set -eu
cd "$(dirname "$0")"
for file in common/*.mjs [0-9]/*.mjs; do
  node --check "$file"
done
