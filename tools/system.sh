# Functions to start and stop a whole system with the platform's stand-ins.
# Sourced by tools/demo, tests/failure/run and the benchmark scripts. Every
# process is ended by its id; the operating system chooses all ports.

readonly startup_seconds=30 serving_seconds=40 stop_seconds=15
readonly workers_per_rack=3

logs=$(mktemp -d)
declare -A pids=()
entry_addresses=() control_addresses=() worker_addresses=() backend_addresses=()
store='' seeds=''

# start NAME PROGRAM [ARGUMENT...]
start() {
  local name=$1
  shift
  "$@" >>"$logs/$name.out" 2>>"$logs/$name.err" &
  pids[$name]=$!
}

# within SECONDS COMMAND...: repeats the command until it succeeds.
within() {
  local end=$((SECONDS + $1))
  shift
  until "$@"; do
    ((SECONDS < end)) || return 1
    sleep 0.1
  done
}

# address NAME [WORD]: the last address that the process printed after WORD.
address() {
  sed -nE "s/.*\b${2:-on} ([0-9.]+:[0-9]+).*/\1/p" "$logs/$1.out" | tail -1
}

is_listening() { [[ -n $(address "$1") ]]; }

await_listening() {
  within "$startup_seconds" is_listening "$1" || {
    echo "$1 did not start listening" >&2
    cat "$logs/$1.err" >&2
    exit 1
  }
}

join() {
  local IFS=,
  echo "$*"
}

# running NAME...: prints those of the processes that still run.
running() {
  local name
  for name in "$@"; do
    if kill -0 "${pids[$name]}" 2>/dev/null; then echo "$name"; fi
  done
}

none_running() { [[ -z $(running "$@") ]]; }

# stop NAME...: sends SIGTERM, waits, and kills by id those that still run.
stop() {
  local name
  (($#)) || return 0
  for name in "$@"; do kill -TERM "${pids[$name]}" 2>/dev/null || true; done
  within "$stop_seconds" none_running "$@" && return 0
  for name in $(running "$@"); do
    echo "$name did not stop in $stop_seconds s" >&2
    kill -KILL "${pids[$name]}" 2>/dev/null || true
  done
}

names() { printf '%s\n' "${!pids[@]}" | { grep -E "^$1" || true; }; }

# Stops all processes, the platform's stand-ins last, so that the others can
# drain. Keeps the logs only on failure.
finish() {
  local status=$?
  trap - EXIT INT TERM
  local name
  for name in "${!pids[@]}"; do kill -CONT "${pids[$name]}" 2>/dev/null || true; done
  stop $(names replay)
  stop $(names agent)
  stop $(names entry)
  stop $(names 'store|worker|backend')
  wait 2>/dev/null || true
  if ((status)); then
    echo "logs are in $logs" >&2
  else
    rm -rf "$logs"
  fi
  exit "$status"
}

trap_finish() {
  trap finish EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM
}

# start_platform COUNT: the store, and COUNT workers with a backend server each.
start_platform() {
  local i
  start store "$build_dir/standins/foxtailbarrow-standin-store"
  for ((i = 1; i <= $1; i++)); do
    start "worker-$i" "$build_dir/standins/foxtailbarrow-standin-worker" \
      --millicores 64000 --memory-mb 256000
    start "backend-$i" "$build_dir/standins/foxtailbarrow-standin-backend" \
      --slots 8 --connections 64 --drain-notice-ms 0
  done
  await_listening store
  store=$(address store)
  for ((i = 1; i <= $1; i++)); do
    await_listening "worker-$i"
    await_listening "backend-$i"
    worker_addresses+=("$(address "worker-$i")")
    backend_addresses+=("$(address "backend-$i")")
  done
}

# start_entry NUMBER [ADDRESS CONTROL]: on free ports, or at these addresses, as
# after a restart on the same VM.
start_entry() {
  start "entry-$1" "$build_dir/apps/foxtailbarrow-entry" --id "entry-$1" \
    --store "$store" --failure-domain "domain-$1" --threads 2 \
    --listen "${2:-127.0.0.1:0}" --control "${3:-127.0.0.1:0}"
}

# start_entries COUNT
start_entries() {
  local i
  for ((i = 1; i <= $1; i++)); do start_entry "$i"; done
  for ((i = 1; i <= $1; i++)); do
    await_listening "entry-$i"
    entry_addresses+=("$(address "entry-$i")")
    control_addresses+=("$(address "entry-$i" control)")
  done
  seeds=$(join "${control_addresses[@]}")
}

# start_agent NUMBER SERVICE [ADDRESS]
start_agent() {
  local rack=$((($1 - 1) / workers_per_rack + 1))
  start "agent-$1" "$build_dir/apps/foxtailbarrow-agent" --id "agent-$1" \
    --service "$2" --rack "rack-$rack" \
    --failure-domain "domain-$(((rack - 1) % 3 + 1))" \
    --backend "${backend_addresses[$1 - 1]}" \
    --worker "${worker_addresses[$1 - 1]}" \
    --entries "$seeds" --slots 8 --listen "${3:-127.0.0.1:0}" \
    --service-millicores 8000 --service-memory-mb 32000
}

# start_agents COUNT SERVICE
start_agents() {
  local i
  for ((i = 1; i <= $1; i++)); do start_agent "$i" "$2"; done
}

# apply_contracts FOLDER
apply_contracts() {
  local file
  for file in "$1"/*.json; do
    "$build_dir/apps/foxtailbarrow-ctl" contracts apply "$file" --store "$store"
  done
}

# all_serve CONTROL COUNT: succeeds if the entry lists COUNT backend servers in
# service.
all_serve() {
  local count
  count=$("$build_dir/apps/foxtailbarrow-ctl" servers list --entry "$1" \
    2>/dev/null | awk '$4 == "serving"' | wc -l)
  ((count == $2))
}

# await_all_serve COUNT
await_all_serve() {
  local control
  for control in "${control_addresses[@]}"; do
    within "$serving_seconds" all_serve "$control" "$1" || {
      echo "the entry at $control does not list $1 backend servers in service" >&2
      "$build_dir/apps/foxtailbarrow-ctl" servers list --entry "$control" >&2 ||
        true
      exit 1
    }
  done
}

# service_of DEPLOYMENT
service_of() {
  case $1 in
    trasowka) echo mileage-log ;;
    qoima) echo backup-orchestration ;;
    *) return 2 ;;
  esac
}
