#!/usr/bin/env bash
# Plays each trouble of troubles.txt as a day of its own and prints, for each,
# the rules that were broken and what the day was worth.
#
#   bench/book.sh BENCH SITE MODEL-SERVICE [NAME...]
#
# JOBS days are played at once (3).
set -euo pipefail
bench=$(realpath "$1") site=$(realpath "$2") service=$3
shift 3
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$here/.."

day() { # NAME PLAN|FAULT FIELDS
  local plan="" fault=""
  local entry="{ at = 8.0, ${3//SERVICE/$service} },"
  if [ "$2" = plan ]; then plan=$entry; else fault=$entry; fi
  cat >"$work/$1.toml" <<TOML
name = "$1"
slot = "trouble"
seed = 424242
length_s = 26.0
one = 0.9
zero = 0.0
goal = { floor = 0.0 }
labels = []
wall = 5.0
light = true
plan = [
  { at = 2.5, kind = "version_bump", how = "adapter", count = 0, x = 7.0 },
  { at = 12.0, kind = "config_change", how = "timeout" },
  $plan
]
faults = [
  $fault
]
TOML
}

while read -r name where fields; do
  case $name in '' | '#'*) continue ;; esac
  if [ $# -gt 0 ] && ! printf '%s\n' "$@" | grep -qx "$name"; then continue; fi
  day "$name" "$where" "$fields"
done <"$here/troubles.txt"

play() {
  "$1" run "$2" "$3" >"$3.out" 2>&1 || true
  local name line broken worth
  name=$(basename "$3" .toml)
  line=$(grep -E "^$name " "$3.out" | head -1)
  broken=$(sed -n 's/.*BROKEN: \(.*\) (else.*/\1/p' <<<"$line")
  worth=$(awk '{print $4}' <<<"$line")
  if [ -z "$line" ]; then broken="not played: $(grep -v '^note\|^built' "$3.out" | head -1)"; fi
  printf '%-24s %-8s %s\n' "$name" "$worth" "${broken:--}"
}
export -f play
find "$work" -name '*.toml' | sort | xargs -P "${JOBS:-3}" -I{} bash -c 'play "$@"' _ "$bench" "$site" {}
