#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. They are plain modules without dependencies, so that they are only checked.
set -eu
cd "$(dirname "$0")/.."
for file in review/common-2/*.mjs review/[4-8]/*.mjs; do
  node --check "$file"
done
