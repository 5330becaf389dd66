#!/usr/bin/env bash
# Starts the stand-ins for the external systems and three daemons, applies the
# sample configuration, sends each kind of request once and stops everything.
# Exits 0 if every step succeeded within the time limit; otherwise it prints
# the logs of the processes.
set -euo pipefail
cd "$(dirname "$0")/../.."

readonly limit_s=60
readonly stop_reserve_s=15 # drain_timeout of the sample settings plus 5 s
readonly daemons=(a b c)
readonly hosts=(127.0.1.1 127.0.2.1 127.0.3.1)
readonly ctl=(bin/rudderctl --settings examples/rudderctl.ini)
readonly caller=("${ctl[@]}" --key example-counter-key --timeout 15s)

logs=$(mktemp -d)
names=()
pids=()

# start NAME COMMAND... runs a process in the background.
start() {
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  names+=("$name")
  pids+=($!)
}

# remaining prints the seconds until the processes must be stopped.
remaining() { echo $((limit_s - stop_reserve_s - SECONDS)); }

fail() {
  echo "FAILED: $*" >&2
  exit 1
}

# retry COMMAND... repeats a command until it succeeds. It fails the run when no
# time remains or a process has exited.
retry() {
  until "$@" >"$logs/retry.out" 2>&1; do
    [ "$(remaining)" -gt 0 ] || fail "time limit reached before this command succeeded: $* ($(cat "$logs/retry.out"))"
    all_running
    sleep 0.1
  done
}

# all_running fails the run if a process has exited.
all_running() {
  local i
  for i in "${!pids[@]}"; do
    kill -0 "${pids[$i]}" 2>/dev/null || fail "${names[$i]} exited during the run"
  done
}

# ready HOST succeeds if /readyz of a daemon returns 200. It needs no HTTP client.
ready() {
  local status
  exec 3<>"/dev/tcp/$1/8080" || return 1
  printf 'GET /readyz HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n' "$1" >&3
  read -r -t 2 status <&3 || status=
  exec 3>&-
  [[ $status == *" 200 "* ]]
}

# listening HOST PORT succeeds if a process listens on the port.
listening() { (exec 3<>"/dev/tcp/$1/$2") 2>/dev/null; }

# stop INDEX sends SIGTERM to a process and waits for its exit. A process that
# still runs at the time limit is killed. A kill or a non-zero exit code is a
# failure.
stop() {
  local pid=${pids[$1]} name=${names[$1]} code=0
  kill -TERM "$pid" 2>/dev/null || true
  while kill -0 "$pid" 2>/dev/null; do
    if [ "$SECONDS" -ge "$limit_s" ]; then
      kill -KILL "$pid" 2>/dev/null || true
      echo "$name did not exit before the time limit of $limit_s s and was killed" >&2
      wait "$pid" 2>/dev/null || true
      return 1
    fi
    sleep 0.1
  done
  wait "$pid" || code=$?
  [ "$code" -eq 0 ] || { echo "$name exited with code $code" >&2; return 1; }
}

# stop_all stops the processes in reverse order, so that the daemons stop before
# the systems that they use.
stop_all() {
  local i failed=0
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    stop "$i" || failed=1
  done
  pids=()
  return "$failed"
}

# finish stops all processes, prints their logs after a failure and removes the
# logs.
finish() {
  local code=$? name
  trap - EXIT
  stop_all || code=1
  if [ "$code" -ne 0 ]; then
    for name in "${names[@]}"; do
      echo "--- log of $name" >&2
      cat "$logs/$name.log" >&2
    done
  fi
  rm -rf "$logs"
  exit "$code"
}
trap finish EXIT
trap 'exit 130' INT TERM

# step TITLE PATTERN COMMAND... runs a command, prints its output and fails the
# run unless the output matches the pattern.
step() {
  local title=$1 pattern=$2 code=0
  shift 2
  echo "== $title"
  timeout "$(($(remaining) > 1 ? $(remaining) : 1))" "$@" >"$logs/step.out" 2>&1 || code=$?
  cat "$logs/step.out"
  [ "$code" -eq 0 ] || fail "$title: exit code $code"
  grep -Eq -- "$pattern" "$logs/step.out" || fail "$title: the output does not match $pattern"
}

# whole_answer fails the run unless the tokens of the last step are numbered from
# 0 without a gap or a repetition. Each token of the stand-in starts with its
# index in hexadecimal.
whole_answer() {
  local n
  grep -oE ' [0-9a-f]{4}\.' "$logs/step.out" | tr -d ' .' >"$logs/tokens"
  n=$(wc -l <"$logs/tokens")
  seq 0 $((n - 1)) | xargs printf '%04x\n' | cmp -s - "$logs/tokens" || fail "tokens were lost or repeated"
  echo "($n tokens, none lost or repeated)"
}

start store bin/storestandin --address 127.0.0.1:2379
start appraisal-1 bin/enginestandin --address 127.0.1.11:9101 --model appraiser --version v1
start appraisal-2 bin/enginestandin --address 127.0.2.11:9102 --model appraiser --version v2
start shop-1 bin/appstandin --address 127.0.1.12:9201 --version shop-v1
start shop-2 bin/appstandin --address 127.0.3.12:9202 --version shop-v2
for place in 127.0.0.1:2379 127.0.1.11:9101 127.0.2.11:9102 127.0.1.12:9201 127.0.3.12:9202; do
  retry listening "${place%:*}" "${place#*:}"
done

for name in "${daemons[@]}"; do
  start "rudderd-$name" bin/rudderd run --settings "examples/rudderd-$name.ini"
done
for host in "${hosts[@]}"; do
  retry ready "$host"
done

step "apply the sample objects" 'revision [0-9]+ is in force' "${ctl[@]}" apply -f examples/objects.yaml
for host in "${hosts[@]}"; do
  retry "${ctl[@]}" --address "$host:8080" get ClientAccount counter
done
step "status" 'daemon a ' "${ctl[@]}" status
step "which address to use" 'order token' "${caller[@]}" where

# The stand-in answers this document with 127 tokens, its maximum.
for i in $(seq 446); do
  echo "Entry $i of the provenance file: reference 116610, serial number M$((700000 + i)), serviced in $((1980 + i % 40))."
done >"$logs/provenance.txt"
step "long report, streamed" ' 007e\.' "${caller[@]}" chat --service appraisal --stream --session visit-1 \
  --max-tokens 200 --prompt-file "$logs/provenance.txt"
whole_answer
step "short question" ' 0000\.' "${caller[@]}" chat --service appraisal --prompt "What does reference 116610 stand for?"
whole_answer
step "reservation" '"execution":1' "${caller[@]}" call shop POST /reservations --data '{"item":"116610"}' --order
step "stock lookup" '"item":"116610"' "${caller[@]}" call shop GET /stock/116610
step "audit trail" 'Service/shop' "${ctl[@]}" audit

echo "== stop"
stop_all || fail "a process did not stop cleanly"
[ "$SECONDS" -lt "$limit_s" ] || fail "took longer than $limit_s s"
echo "all steps succeeded in $SECONDS s"
