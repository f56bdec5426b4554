#!/usr/bin/env bash
# Runs the commands of docs/TUTORIAL.md in order and checks their output.
set -eu
cd "$(dirname "$0")/.."
rm -rf out/tutorial
script=$(mktemp)
trap 'rm -f "$script"; [ -f out/tutorial/pids ] && kill $(cat out/tutorial/pids) 2>/dev/null || true' EXIT
grep -E '^    ' docs/TUTORIAL.md | sed 's/^    //' | grep -v '^export PATH=' >"$script"
PATH="$(cd "${VENV:-.venv}/bin" && pwd):$PATH" bash -eu "$script" >out/tutorial.log 2>&1 || {
  cat out/tutorial.log
  exit 1
}
for pattern in '"holds_settings": true' 'max_running' '"finish_reason":"stop"' 'data: \[DONE\]' domain_out; do
  grep -q -- "$pattern" out/tutorial.log || { echo "the tutorial did not show: $pattern"; cat out/tutorial.log; exit 1; }
done
echo 'the tutorial runs'
