#!/usr/bin/env bash
# Checks every run in spec/models.txt exhaustively with spin and compares the result with the expected one.
# Prints the number of states and errors of each run. Fails if a result differs, a search is incomplete, or a model
# has no run that is expected to pass.
set -euo pipefail
spec="$(cd "$(dirname "$0")" && pwd)"
# The verifiers are compiled without partial order reduction (-DNOREDUCE), so that the number of states is that of the
# full model, independent of how the reduction treats atomic steps.
# Limits of one search: memory in MB and depth in steps.
memory=4000
depth=5000000

if ! command -v spin >/dev/null; then
  apt-get update -q && apt-get install -y -q spin
fi
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
failures=0

# check MODEL DEFINITIONS EXPECTED runs one line of models.txt. DEFINITIONS are macros joined by commas, - for none.
check() {
  local model="$1" definitions="$2" expected="$3" defs=() dir out states errors result
  dir="$(mktemp -d -p "$work")"
  if [ "$definitions" != "-" ]; then
    IFS=, read -ra defs <<<"$definitions"
  fi
  cp "$spec"/*.pml "$dir/"
  out="$dir/out"
  if ! (cd "$dir" && spin "${defs[@]/#/-D}" -a "$model.pml" && gcc -w -O2 -DSAFETY -DNOREDUCE -DCOLLAPSE -DMEMLIM="$memory" -o pan pan.c) >"$out" 2>&1; then
    cat "$out"
    result="broken"
  else
    (cd "$dir" && ./pan -m"$depth") >"$out" 2>&1 || true
    states="$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$out")"
    errors="$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$out")"
    if [ -z "$errors" ]; then
      result="broken"
    elif [ "$errors" != 0 ]; then
      result="fail"
    elif grep -q -e 'Search not completed' -e 'max search depth too small' "$out"; then
      result="incomplete"
    else
      result="pass"
    fi
  fi
  printf '%-14s %-28s expected %-5s got %-10s states %-10s errors %s\n' \
    "$model" "$definitions" "$expected" "$result" "${states:-?}" "${errors:-?}"
  if [ "$result" != "$expected" ]; then
    cat "$out"
    failures=$((failures + 1))
  fi
}

while read -r model definitions expected; do
  case "$model" in "" | "#"*) continue ;; esac
  check "$model" "$definitions" "$expected"
done <"$spec/models.txt"
for file in "$spec"/*.pml; do
  if ! grep -q "^$(basename "$file" .pml)[[:space:]].*pass$" "$spec/models.txt"; then
    echo "$(basename "$file") has no run that is expected to pass in models.txt"
    failures=$((failures + 1))
  fi
done
if [ "$failures" -gt 0 ]; then
  echo "$failures model checks failed"
  exit 1
fi
