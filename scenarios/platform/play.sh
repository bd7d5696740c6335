#!/usr/bin/env bash
# Plays every day of this folder and of deploy/days on one site and prints a table: day, worth, what was broken.
# Usage: scenarios/platform/play.sh BENCH SITE OUT [JOBS] [PATTERN]
#   BENCH    the users' bench          SITE     a site file
#   OUT      a folder for the reports  JOBS     days at once (2)
#   PATTERN  days to play (*.toml); those named grown-* need a site with health checks, places-* one with
#            zones that are evacuated
set -u
bench=$1
site=$2
out=$3
jobs=${4:-2}
pattern=${5:-*.toml}
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$out"
play_one() {
  local day name
  day=$1
  name=$(basename "$day" .toml)
  "$bench" run "$site" "$day" --why "own day $name: one kind of trouble at three moments" >"$out/$name.txt" 2>&1
  awk -v name="$name" '/^own-/ { worth = $4; served = $5 } /^broken|^BROKEN|rule/ && !seen { broken = broken " | " $0 }
    END { printf "%-20s worth %-7s served %-7s%s\n", name, worth, served, broken }' "$out/$name.txt"
}
export -f play_one
export bench site out
find "$here" "$here/../../deploy/days" -name "$pattern" | sort | xargs -P "$jobs" -I{} bash -c 'play_one {}'
