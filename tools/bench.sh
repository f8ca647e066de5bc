#!/usr/bin/env bash
# Runs the experiments and writes bench/DATE.jsonl, bench/DATE.md and SVG plots:
#   tools/bench.sh BIN_DIR
# The experiments use fixed seeds. BENCH_QUICK=1 runs small fleets. BENCH_ONLY="requests tables" runs
# only these experiments. BASE_PORT: first TCP port.
set -euo pipefail
bin=$(cd "${1:?usage: tools/bench.sh BIN_DIR}" && pwd)
cd "$(dirname "$0")/.."
first_port=${BASE_PORT:-24000}
port=$first_port
quick=${BENCH_QUICK:-0}
out=bench/$(date -u +%Y-%m-%d)
[ "$quick" = 0 ] || out=$out-quick
mkdir -p bench
: >"$out.jsonl"
failures=0

# run EXPERIMENT OPTIONS...: appends the last line of the output, which is one JSON object.
run() {
  local line
  [[ " ${BENCH_ONLY:-$1} " == *" $1 "* ]] || return 0
  echo "== $*" >&2
  # Each run uses ports of its own: the previous run may still hold its ports while it shuts down.
  port=$((port + 300))
  [ "$port" -lt $((first_port + 7000)) ] || port=$first_port
  if line=$("$bin/savoryrouter-experiment" "$@" --bin-dir "$bin" --base-port "$port" | tail -n 1) &&
    [ "${line:0:1}" = "{" ]; then
    printf '{"command": "%s", "result": %s}\n' "$*" "$line" >>"$out.jsonl"
  else
    failures=$((failures + 1))
    printf '{"command": "%s", "result": null}\n' "$*" >>"$out.jsonl"
  fi
}

distribution=(--agents 32)
origin_only=(--agents 32 --bytes 8388608)  # 32 MiB would take three minutes
requests=(--seconds 12)
tables=(--entries 4 --agents 12 --edits 20 --steady-seconds 10)
if [ "$quick" != 0 ]; then
  distribution=(--agents 6 --bytes 8388608)
  origin_only=("${distribution[@]}")
  requests=(--seconds 6)
  tables=(--entries 2 --agents 4 --edits 10 --steady-seconds 5)
fi

run distribution "${distribution[@]}" --strategy swarm
run distribution "${distribution[@]}" --strategy tree
run distribution "${origin_only[@]}" --strategy origin-only
run distribution "${distribution[@]}" --strategy swarm --favour origin_bytes
for fault in kill stall corrupt origin-outage version-change; do
  run distribution "${distribution[@]}" --fault "$fault"
done
for fault in none kill-agent freeze-agent silent-connection kv-outage lost-reply poison overload drain; do
  run requests "${requests[@]}" --fault "$fault"
done
for fault in none kv-outage lost-reply two-operators partition paused-holder restart-wave; do
  run tables "${tables[@]}" --fault "$fault"
done
# Scaling with the number of processes.
if [ "$quick" = 0 ]; then
  for agents in 8 16 64; do run distribution --agents "$agents"; done
  run tables --entries 8 --agents 24 --edits 20 --steady-seconds 10
  run tables --entries 16 --agents 48 --edits 20 --steady-seconds 10
  run requests --entries 1 --agents 3 --streams 1000 --seconds 12
fi
run costs

python3 tools/bench_report.py "$out"
echo "wrote $out.jsonl, $out.md and the plots" >&2
if [ "$failures" -gt 0 ]; then
  echo "$failures experiments failed" >&2
  exit 1
fi
