# The faults of scripts/demo, which sources this file: before_NAME runs before the
# load, fault_NAME during it, judge_NAME after it. Each process is ended by its id.
#
#   kill      kill -9 one balancer
#   restart   kill -9 one balancer and start it again at once on the same addresses
#   pause     SIGSTOP one balancer for 5 s
#   stop      the host list says that one balancer leaves, then SIGTERM
#   replace   all four balancers, one after another, under new names on the same addresses
#   platform  down from the start of the load, then stale while a change is published, then up
#   boot      one balancer restarts while the platform is down
#   race      two operators publish different valid files at the same moment, six times
#   cut       the fabric hands one balancer nothing for 5 s
# shellcheck shell=bash disable=SC2034,SC2154

faults="kill restart pause stop replace platform boot race cut"

# Longest time for a change to be in force on every balancer, in milliseconds.
in_force_ms=6000

mode() { post $platform/bench/mode "{\"mode\":\"$1\"}"; }
host() { post $platform/bench/host "{\"name\":\"$1\",\"state\":\"$2\"}"; }
cut() { post $fabric_ops/cut "{\"balancer\":\"$(lane "$1")\"}"; }
heal() { post $fabric_ops/heal "{\"balancer\":\"$(lane "$1")\"}"; }
ready() { curl --silent --fail --max-time 1 "http://$(ops "$1")/ready" >/dev/null 2>&1; }
now_ms() { date +%s%3N; }

# publish FILE: prints the revision that the platform gave it.
publish() {
  fetch --data-binary "@$1" "http://$platform/bench/publish" | sed 's/[^0-9]//g'
}
# newest: the platform's revision.
newest() {
  fetch "http://$platform/-/kv-range?Prefix=none/" | sed 's/.*"StoreRevision":\([0-9]*\).*/\1/'
}
# revision N: what balancer N has in force, or nothing.
revision() {
  { timeout 2 "$bin/jacinthhinge" dump "$(ops "$1")" --table control 2>/dev/null || true; } |
    awk '/^  "values": \{/ { inside = 1 } inside && /^    "revision":/ { print $2 + 0; exit }'
}
# variant SHARE: writes the operators' file with another retry share; prints its path.
variant() {
  sed "s/^retry_share = .*/retry_share = $1/" "$config" >"$dir/variant-$1.toml"
  echo "$dir/variant-$1.toml"
}

# fails TEXT: the condition did not hold.
fails() {
  held=no
  note "$1"
}
note() { detail+=" $1"; }
# judge_time NAME MS LIMIT: the time was measured and is within the limit.
judge_time() {
  note "$1=$2"
  case $2 in
    over-*) held=no ;;
    *) [ "$2" -le "$3" ] || held=no ;;
  esac
}

# time_until MS COMMAND...: repeats the command until it holds; prints the milliseconds.
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
# in_force REVISION N...: true if these balancers have it, or a later one, in force.
in_force() {
  local wanted=$1 n seen
  shift
  for n in "$@"; do
    seen=$(revision "$n")
    [ "${seen:-0}" -ge "$wanted" ] || return 1
  done
}
# all_ready N...: true if these balancers take traffic.
all_ready() {
  local n
  for n in "$@"; do ready "$n" || return 1; done
}
# judge_in_step N...: these balancers run, take traffic and have the newest revision.
judge_in_step() {
  local n seen wanted
  wanted=$(newest)
  for n in "$@"; do
    kill -0 "${balancer_pids[$n]}" 2>/dev/null || fails "balancer_$n=ended"
    ready "$n" || fails "balancer_$n=unready"
    seen=$(revision "$n")
    [ "$seen" = "$wanted" ] || fails "balancer_$n=revision_${seen:-none}"
  done
  note "newest=$wanted"
}

kill_balancer() {
  kill -9 "${balancer_pids[$1]}"
  wait "${balancer_pids[$1]}" 2>/dev/null || true
  forget "${balancer_pids[$1]}"
  say "killed balancer $zone-$1"
}
# is_over PID: true once the process has ended.
is_over() { ! kill -0 "$1" 2>/dev/null; }
is_unready() { ! ready "$1"; }
# stop_balancer N NAME SECONDS: the host list says that it leaves, and that much later
# comes SIGTERM; the fabric stops handing it packets when it says that it is not
# ready. Sets exit_status.
stop_balancer() {
  local pid=${balancer_pids[$1]}
  host "$2" leaving
  say "the host list says that $2 leaves"
  sleep "$3"
  kill -TERM "$pid"
  say "SIGTERM to balancer $2"
  time_until 5000 is_unready "$1" >/dev/null || true
  cut "$1"
  exit_status=none
  if time_until 20000 is_over "$pid" >"$dir/stopped"; then
    exit_status=0
    wait "$pid" || exit_status=$?
    forget "$pid"
  fi
  host "$2" gone
  say "balancer $2 ended with status $exit_status after $(cat "$dir/stopped") ms"
}

# sample_revisions: appends "N REVISION" of every balancer each half second.
sample_revisions() {
  local n
  while :; do
    for n in "${balancers[@]}"; do echo "$n $(revision "$n")" >>"$dir/revisions"; done
    sleep 0.5
  done
}
start_samples() {
  sample_revisions &
  sampler=$!
  pids+=("$sampler")
}
judge_samples() {
  local falls seen
  kill -KILL "$sampler"
  wait "$sampler" 2>/dev/null || true
  forget "$sampler"
  falls=$(awk 'NF == 2 { if ($2 < last[$1]) falls++; last[$1] = $2 } END { print falls + 0 }' \
    "$dir/revisions")
  seen=$(awk 'NF == 2' "$dir/revisions" | wc -l)
  note "samples=$seen blank=$(awk 'NF == 1' "$dir/revisions" | wc -l) falls=$falls"
  [ "$falls" -eq 0 ] || held=no
  [ "$seen" -ge 80 ] || fails too_few_samples
}

fault_kill() {
  until_load $fault_at
  kill_balancer $victim
  until_load $((fault_at + 1))
  cut $victim
  say "the fabric has noticed"
}
judge_kill() { judge_in_step 1 3 4; }

fault_restart() {
  until_load $fault_at
  kill_balancer $victim
  start_balancer $victim "$zone-$victim"
  if back=$(time_until 10000 ready $victim); then :; fi
  say "balancer $zone-$victim is ready again after $back ms"
}
judge_restart() {
  judge_time ready_after_ms "$back" 10000
  judge_in_step "${balancers[@]}"
}

fault_pause() {
  until_load $fault_at
  kill -STOP "${balancer_pids[$victim]}"
  say "paused balancer $zone-$victim"
  until_load $((fault_at + 1))
  cut $victim
  until_load $((fault_at + 5))
  kill -CONT "${balancer_pids[$victim]}"
  say "balancer $zone-$victim goes on"
  until_load $((fault_at + 6))
  heal $victim
}
judge_pause() { judge_in_step "${balancers[@]}"; }

fault_stop() {
  until_load 2
  stop_balancer $victim "$zone-$victim" 7
}
judge_stop() {
  note "exit_status=$exit_status ended_after_ms=$(cat "$dir/stopped")"
  [ "$exit_status" = 0 ] || held=no
  judge_in_step 1 3 4
}

hide_new_names() {
  local n
  time_until 5000 newest >/dev/null 2>&1
  for n in "${balancers[@]}"; do host "$zone-$n-new" gone; done
}
fault_replace() {
  local n
  until_load 1
  replaced=
  for n in "${balancers[@]}"; do
    stop_balancer "$n" "$zone-$n" 1
    replaced+="$n:$exit_status,"
    [ "$exit_status" != none ] || break
    host "$zone-$n-new" live
    start_balancer "$n" "$zone-$n-new"
    back=$(time_until 10000 ready "$n") || break
    heal "$n"
    say "balancer $zone-$n-new is ready after $back ms"
  done
  replaced_at=$(($(now_ms) - load))
}
judge_replace() {
  note "exit_statuses=${replaced%,} ready_after_ms=$back replaced_at_ms=$replaced_at"
  [ "$replaced" = 1:0,2:0,3:0,4:0, ] || held=no
  judge_in_step "${balancers[@]}"
}

before_platform() {
  local first
  first=$(publish "$(variant 0.11)")
  time_until 10000 in_force "$first" "${balancers[@]}" >"$dir/first" || true
  say "revision $first is in force everywhere after $(cat "$dir/first") ms"
  start_samples
}
fault_platform() {
  local wanted
  mode down
  say "the platform is down"
  until_load 4
  mode stale
  wanted=$(publish "$(variant 0.12)")
  say "the platform is stale, revision $wanted is published"
  until_load 6
  mode up
  if forced=$(time_until 15000 in_force "$wanted" "${balancers[@]}"); then :; fi
  say "the platform is up, revision $wanted is in force everywhere after $forced ms"
}
judge_platform() {
  judge_time in_force_after_ms "$forced" $in_force_ms
  judge_samples
  judge_in_step "${balancers[@]}"
}

fault_boot() {
  local wanted
  until_load 2
  wanted=$(newest)
  mode down
  say "the platform is down"
  until_load 3
  kill_balancer $victim
  start_balancer $victim "$zone-$victim"
  if back=$(time_until 6000 in_force "$wanted" $victim); then :; fi
  if all_ready $victim; then booted=ready; else booted=unready; fi
  say "balancer $zone-$victim has revision $wanted after $back ms and is $booted"
  until_load 10
  mode up
  say "the platform is up"
}
judge_boot() {
  judge_time from_peers_after_ms "$back" 6000
  note "booted=$booted"
  [ $booted = ready ] || held=no
  judge_in_step "${balancers[@]}"
}

before_race() { start_samples; }
fault_race() {
  local round one two
  for round in 1 2 3 4 5 6; do
    until_load $((round + 3))
    publish "$(variant "0.1$round")" >"$dir/one" &
    one=$!
    publish "$(variant "0.2$round")" >"$dir/two" &
    two=$!
    wait $one
    wait $two
    say "two operators got revisions $(cat "$dir/one") and $(cat "$dir/two")"
  done
}
judge_race() {
  judge_samples
  judge_in_step "${balancers[@]}"
}

# packets N: packets that balancer N has received.
packets() {
  "$bin/jacinthhinge" dump "$(ops "$1")" --table counters |
    awk '/"packets":/ { sum += $2 } END { print sum + 0 }'
}
fault_cut() {
  until_load $fault_at
  cut $victim
  say "cut balancer $zone-$victim off"
  until_load $((fault_at + 5))
  before_heal=$(packets $victim)
  heal $victim
  say "healed"
}
judge_cut() {
  local after
  after=$(packets $victim)
  note "packets_before_heal=$before_heal packets_at_end=$after"
  [ "$after" -gt "$before_heal" ] || held=no
  judge_in_step "${balancers[@]}"
}
