# The faults of scripts/demo, which sources this file. before_NAME runs before the load,
# fault_NAME during it and check_NAME after it. Each process is ended by its id.
#
#   kill      one balancer is ended by kill -9
#   restart   one balancer is ended by kill -9 and started at once on the same addresses
#   pause     one balancer is stopped by SIGSTOP for 5 s
#   stop      one balancer is marked as leaving in the host list, then gets SIGTERM
#   replace   the four balancers are replaced one by one, under new names on the same addresses
#   platform  the platform is down when the load starts, then stale during a change, then up
#   boot      one balancer is restarted while the platform is down
#   race      two operators publish different valid files at the same time, six times
#   cut       the fabric delivers no packets to one balancer for 5 s
# shellcheck shell=bash disable=SC2034,SC2154

faults="kill restart pause stop replace platform boot race cut"

# Maximum time until a change is in force on every balancer, in milliseconds.
in_force_ms=6000

set_mode() { post $platform/bench/mode "{\"mode\":\"$1\"}"; }
set_host_state() { post $platform/bench/host "{\"name\":\"$1\",\"state\":\"$2\"}"; }
cut_balancer() { post $fabric_ops/cut "{\"balancer\":\"$(lane_addr "$1")\"}"; }
heal_balancer() { post $fabric_ops/heal "{\"balancer\":\"$(lane_addr "$1")\"}"; }
is_ready() { curl --silent --fail --max-time 1 "http://$(ops_addr "$1")/ready" >/dev/null 2>&1; }
now_ms() { date +%s%3N; }

# publish FILE: publishes the file and prints its revision.
publish() {
  fetch --data-binary "@$1" "http://$platform/bench/publish" | sed 's/[^0-9]//g'
}
# newest_revision: prints the platform's revision.
newest_revision() {
  fetch "http://$platform/-/kv-range?Prefix=none/" | sed 's/.*"StoreRevision":\([0-9]*\).*/\1/'
}
# revision_in_force N: prints the revision in force on balancer N, or nothing.
revision_in_force() {
  { timeout 2 "$bin/jacinthhinge" dump "$(ops_addr "$1")" --table control 2>/dev/null || true; } |
    awk '/^  "values": \{/ { inside = 1 } inside && /^    "revision":/ { print $2 + 0; exit }'
}
# write_variant SHARE: writes the configuration with that retry share and prints its path.
write_variant() {
  sed "s/^retry_share = .*/retry_share = $1/" "$config" >"$dir/variant-$1.toml"
  echo "$dir/variant-$1.toml"
}

# fail_condition TEXT: records that the fault's condition did not hold, and why.
fail_condition() {
  condition_held=no
  add_detail "$1"
}
# add_detail TEXT: adds the text to the result line.
add_detail() { detail+=" $1"; }
# check_time NAME MS LIMIT: checks that the time was measured and is within the limit.
check_time() {
  add_detail "$1=$2"
  case $2 in
    over-*) condition_held=no ;;
    *) [ "$2" -le "$3" ] || condition_held=no ;;
  esac
}

# time_until MS COMMAND...: repeats the command until it succeeds, for at most MS milliseconds;
# prints the milliseconds taken, or over-MS.
time_until() {
  local limit=$1 from
  from=$(now_ms)
  shift
  until "$@"; do
    if [ $(($(now_ms) - from)) -ge "$limit" ]; then
      echo "over-$limit"
      return 1
    fi
    sleep 0.1
  done
  echo $(($(now_ms) - from))
}
# in_force REVISION N...: true if the revision, or a later one, is in force on these balancers.
in_force() {
  local wanted=$1 n found
  shift
  for n in "$@"; do
    found=$(revision_in_force "$n")
    [ "${found:-0}" -ge "$wanted" ] || return 1
  done
}
# all_ready N...: true if these balancers accept traffic.
all_ready() {
  local n
  for n in "$@"; do is_ready "$n" || return 1; done
}
# check_balancers N...: checks that these balancers run, accept traffic and have the newest
# revision in force.
check_balancers() {
  local n found wanted
  wanted=$(newest_revision)
  for n in "$@"; do
    kill -0 "${balancer_pids[$n]}" 2>/dev/null || fail_condition "balancer_$n=ended"
    is_ready "$n" || fail_condition "balancer_$n=unready"
    found=$(revision_in_force "$n")
    [ "$found" = "$wanted" ] || fail_condition "balancer_$n=revision_${found:-none}"
  done
  add_detail "newest=$wanted"
}

kill_balancer() {
  kill -9 "${balancer_pids[$1]}"
  wait "${balancer_pids[$1]}" 2>/dev/null || true
  untrack_process "${balancer_pids[$1]}"
  log_step "killed balancer $zone-$1"
}
# has_ended PID: true once the process has ended.
has_ended() { ! kill -0 "$1" 2>/dev/null; }
is_unready() { ! is_ready "$1"; }
# stop_balancer N NAME SECONDS: marks the balancer as leaving in the host list and sends SIGTERM
# after that time. The fabric stops delivering packets to it once it reports that it is not ready.
# Sets exit_status.
stop_balancer() {
  local pid=${balancer_pids[$1]}
  set_host_state "$2" leaving
  log_step "marked balancer $2 as leaving in the host list"
  sleep "$3"
  kill -TERM "$pid"
  log_step "sent SIGTERM to balancer $2"
  time_until 5000 is_unready "$1" >/dev/null || true
  cut_balancer "$1"
  exit_status=none
  if time_until 20000 has_ended "$pid" >"$dir/stopped"; then
    exit_status=0
    wait "$pid" || exit_status=$?
    untrack_process "$pid"
  fi
  set_host_state "$2" gone
  log_step "balancer $2 ended with status $exit_status after $(cat "$dir/stopped") ms"
}

# sample_revisions: appends "N REVISION" for every balancer every 0.5 s.
sample_revisions() {
  local n
  while :; do
    for n in "${balancers[@]}"; do echo "$n $(revision_in_force "$n")" >>"$dir/revisions"; done
    sleep 0.5
  done
}
start_sampling() {
  sample_revisions &
  sampler=$!
  pids+=("$sampler")
}
# check_samples: checks that no balancer's revision decreased and that there were enough samples.
check_samples() {
  local decreases samples
  kill -KILL "$sampler"
  wait "$sampler" 2>/dev/null || true
  untrack_process "$sampler"
  decreases=$(awk '
    NF == 2 { if ($2 < last[$1]) decreases++; last[$1] = $2 }
    END { print decreases + 0 }
  ' "$dir/revisions")
  samples=$(awk 'NF == 2' "$dir/revisions" | wc -l)
  add_detail "samples=$samples blank=$(awk 'NF == 1' "$dir/revisions" | wc -l) falls=$decreases"
  [ "$decreases" -eq 0 ] || condition_held=no
  [ "$samples" -ge 80 ] || fail_condition too_few_samples
}

fault_kill() {
  wait_until_load $fault_at
  kill_balancer $victim
  wait_until_load $((fault_at + 1))
  cut_balancer $victim
  log_step "the fabric has stopped delivering to balancer $zone-$victim"
}
check_kill() { check_balancers 1 3 4; }

fault_restart() {
  wait_until_load $fault_at
  kill_balancer $victim
  start_balancer $victim "$zone-$victim"
  if ready_after=$(time_until 10000 is_ready $victim); then :; fi
  log_step "balancer $zone-$victim is ready again after $ready_after ms"
}
check_restart() {
  check_time ready_after_ms "$ready_after" 10000
  check_balancers "${balancers[@]}"
}

fault_pause() {
  wait_until_load $fault_at
  kill -STOP "${balancer_pids[$victim]}"
  log_step "paused balancer $zone-$victim"
  wait_until_load $((fault_at + 1))
  cut_balancer $victim
  wait_until_load $((fault_at + 5))
  kill -CONT "${balancer_pids[$victim]}"
  log_step "resumed balancer $zone-$victim"
  wait_until_load $((fault_at + 6))
  heal_balancer $victim
}
check_pause() { check_balancers "${balancers[@]}"; }

fault_stop() {
  wait_until_load 2
  stop_balancer $victim "$zone-$victim" 7
}
check_stop() {
  add_detail "exit_status=$exit_status ended_after_ms=$(cat "$dir/stopped")"
  [ "$exit_status" = 0 ] || condition_held=no
  check_balancers 1 3 4
}

# hide_replacements: removes the replacements from the host list until they are started.
hide_replacements() {
  local n
  time_until 5000 newest_revision >/dev/null 2>&1
  for n in "${balancers[@]}"; do set_host_state "$zone-$n-new" gone; done
}
fault_replace() {
  local n
  wait_until_load 1
  replace_statuses=
  for n in "${balancers[@]}"; do
    stop_balancer "$n" "$zone-$n" 1
    replace_statuses+="$n:$exit_status,"
    [ "$exit_status" != none ] || break
    set_host_state "$zone-$n-new" live
    start_balancer "$n" "$zone-$n-new"
    ready_after=$(time_until 10000 is_ready "$n") || break
    heal_balancer "$n"
    log_step "balancer $zone-$n-new is ready after $ready_after ms"
  done
  replaced_at=$(($(now_ms) - load_start))
}
check_replace() {
  add_detail "exit_statuses=${replace_statuses%,} ready_after_ms=$ready_after replaced_at_ms=$replaced_at"
  [ "$replace_statuses" = 1:0,2:0,3:0,4:0, ] || condition_held=no
  check_balancers "${balancers[@]}"
}

before_platform() {
  local first
  first=$(publish "$(write_variant 0.11)")
  time_until 10000 in_force "$first" "${balancers[@]}" >"$dir/first" || true
  log_step "revision $first is in force everywhere after $(cat "$dir/first") ms"
  start_sampling
}
fault_platform() {
  local wanted
  set_mode down
  log_step "the platform is down"
  wait_until_load 4
  set_mode stale
  wanted=$(publish "$(write_variant 0.12)")
  log_step "the platform is stale, revision $wanted is published"
  wait_until_load 6
  set_mode up
  if in_force_after=$(time_until 15000 in_force "$wanted" "${balancers[@]}"); then :; fi
  log_step "the platform is up, revision $wanted is in force everywhere after $in_force_after ms"
}
check_platform() {
  check_time in_force_after_ms "$in_force_after" $in_force_ms
  check_samples
  check_balancers "${balancers[@]}"
}

fault_boot() {
  local wanted
  wait_until_load 2
  wanted=$(newest_revision)
  set_mode down
  log_step "the platform is down"
  wait_until_load 3
  kill_balancer $victim
  start_balancer $victim "$zone-$victim"
  if in_force_after=$(time_until 6000 in_force "$wanted" $victim); then :; fi
  if all_ready $victim; then booted=ready; else booted=unready; fi
  log_step "balancer $zone-$victim has revision $wanted after $in_force_after ms and is $booted"
  wait_until_load 10
  set_mode up
  log_step "the platform is up"
}
check_boot() {
  check_time from_peers_after_ms "$in_force_after" 6000
  add_detail "booted=$booted"
  [ $booted = ready ] || condition_held=no
  check_balancers "${balancers[@]}"
}

before_race() { start_sampling; }
fault_race() {
  local round one two
  for round in 1 2 3 4 5 6; do
    wait_until_load $((round + 3))
    publish "$(write_variant "0.1$round")" >"$dir/one" &
    one=$!
    publish "$(write_variant "0.2$round")" >"$dir/two" &
    two=$!
    wait $one
    wait $two
    log_step "two operators got revisions $(cat "$dir/one") and $(cat "$dir/two")"
  done
}
check_race() {
  check_samples
  check_balancers "${balancers[@]}"
}

# received_packets N: prints the number of packets that balancer N has received.
received_packets() {
  "$bin/jacinthhinge" dump "$(ops_addr "$1")" --table counters |
    awk '/"packets":/ { sum += $2 } END { print sum + 0 }'
}
fault_cut() {
  wait_until_load $fault_at
  cut_balancer $victim
  log_step "disconnected balancer $zone-$victim"
  wait_until_load $((fault_at + 5))
  before_heal=$(received_packets $victim)
  heal_balancer $victim
  log_step "reconnected balancer $zone-$victim"
}
check_cut() {
  local after
  after=$(received_packets $victim)
  add_detail "packets_before_heal=$before_heal packets_at_end=$after"
  [ "$after" -gt "$before_heal" ] || condition_held=no
  check_balancers "${balancers[@]}"
}
