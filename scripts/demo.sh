#!/usr/bin/env bash
# Starts a fleet of processes on the loopback interface and demonstrates:
# - a response that is complete although a member of the group that generates it is killed,
# - a non-idempotent call that runs once although it is sent three times with one idempotency key,
# - a data centre that is taken out of service and returned to service under load.
# Fails if it takes longer than TIME_LIMIT_S. Stops all its processes when it exits.
set -euo pipefail
cd "$(dirname "$0")/.."

CENTRES=3
ENGINES_PER_CENTRE=4
SERVICE_UPSTREAMS=3
NODES=7
MODEL=appraiser
ACCOUNT_KEY=demo-key
TIME_LIMIT_S=170
PROFILE=${PROFILE:-release}

echo "== build ($PROFILE)"
profile_flag=()
[[ $PROFILE == release ]] && profile_flag=(--release)
cargo build --quiet "${profile_flag[@]}" -p eelgrassdeal_node -p eelgrassdeal_standins \
    -p eelgrassdeal_cli -p eelgrassdeal_testkit
bin_dir="${CARGO_TARGET_DIR:-target}/$PROFILE"

work_dir=$(mktemp -d)
declare -A pid_of=()
declare -A address_of=()
stop_processes() {
    local name
    for name in "${!pid_of[@]}"; do
        kill -9 "${pid_of[$name]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work_dir"
}
trap stop_processes EXIT
trap 'echo "interrupted" >&2; exit 1' INT TERM
SECONDS=0

fail() {
    echo "demo failed: $1" >&2
    tail -n 5 "$work_dir"/entry-0.log >&2 || true
    exit 1
}
check_time_limit() {
    ((SECONDS < TIME_LIMIT_S)) || fail "time limit of $TIME_LIMIT_S s exceeded"
}
start_process() { # name, command...; runs the command in the background
    local name=$1
    shift
    "$@" >"$work_dir/$name.log" 2>&1 &
    pid_of[$name]=$!
}
# The ports are below 32768, the start of the range that Linux uses for outgoing connections. They
# depend on the process id, so that several runs can share the machine.
next_port=$((12000 + $$ % 180 * 100))
next_address() { # sets $address to the next unused loopback address
    address="127.0.0.1:$next_port"
    next_port=$((next_port + 1))
}
next_address; table=$address
next_address; object=$address
next_address; vm_list=$address
next_address; weights=$address

echo "== start the fleet"
start_process platform "$bin_dir/eelgrassdeal-standin" platform --table "$table" \
    --object "$object" --vm-list "$vm_list" --weights "$weights" --vm-list-lag-ms 500
register="$work_dir/register.toml"
{
    for ((centre = 0; centre < CENTRES; centre++)); do
        printf '[[data_centre]]\nid = "dc%d"\nregion = "region-1"\nstate = "in"\n\n' "$centre"
    done
    cat <<EOF
[[model]]
id = "$MODEL"
version = "1"
vms_per_replica = 2
weights_bytes = 1000000000
slots = 64
cold_slots = 8
kv_tokens = 1000000
ramp_step_ms = 500
first_token_target_ms = 500

[[service]]
id = "desk"
idempotent_calls = ["price"]

EOF
} >"$register"
for ((centre = 0; centre < CENTRES; centre++)); do
    for ((worker = 0; worker < ENGINES_PER_CENTRE; worker++)); do
        vm="dc$centre-w$worker"
        next_address; address_of[$vm]=$address
        start_process "$vm" "$bin_dir/eelgrassdeal-standin" engine --vm "$vm" --listen "$address" \
            --weights-url "http://$weights" --first-token-ms 50 --token-ms 20 \
            --cold-limit 16 --warm-after-ms 1000
        cat >>"$register" <<EOF
[[vm]]
id = "$vm"
address = "$address"
data_centre = "dc$centre"
fabric_domain = "dc$centre-f0"
role = "worker"
accelerators = 4
fencing = "honoured"
state = "in_service"

EOF
    done
done
for ((index = 0; index < SERVICE_UPSTREAMS; index++)); do
    next_address; address_of[desk-$index]=$address
    start_process "desk-$index" "$bin_dir/eelgrassdeal-standin" service --listen "$address"
    cat >>"$register" <<EOF
[[upstream]]
id = "desk-$index"
service = "desk"
address = "$address"
data_centre = "dc$((index % CENTRES))"
slots = 64
cold_slots = 16
state = "in_service"

EOF
done
printf 'demo-admin\n' >"$work_dir/admin"
printf '%s\n' "$ACCOUNT_KEY" >"$work_dir/key"
certificate_nodes=()
for ((index = 0; index < NODES; index++)); do
    certificate_nodes+=(--node "entry-$index")
done
"$bin_dir/eelgrassdeal-standin" certificates --dir "$work_dir/tls" "${certificate_nodes[@]}"
node_options=()
for ((index = 0; index < NODES; index++)); do
    name="entry-$index"
    next_address; listen=$address
    next_address; peer_listen=$address
    address_of[$name]=$listen
    node_options+=(--node "$listen")
    cat >"$work_dir/$name.toml" <<EOF
node = "$name"
data_centre = "dc$((index % CENTRES))"
listen = "$listen"
peer_listen = "$peer_listen"
table_url = "http://$table"
object_url = "http://$object"
vm_list_url = "http://$vm_list"
admin_token_file = "$work_dir/admin"

[peer_tls]
certificate_file = "$work_dir/tls/$name.pem"
key_file = "$work_dir/tls/$name-key.pem"
ca_file = "$work_dir/tls/ca.pem"
EOF
    start_process "$name" "$bin_dir/eelgrassdeal-node" --settings "$work_dir/$name.toml"
    cat >>"$register" <<EOF
[[vm]]
id = "$name"
address = "$listen"
peer_address = "$peer_listen"
data_centre = "dc$((index % CENTRES))"
role = "entry"
state = "in_service"

EOF
done
cat >"$work_dir/rules.toml" <<EOF
[[client_account]]
id = "demo"
key_sha256 = "$(printf '%s' "$ACCOUNT_KEY" | sha256sum | cut -d' ' -f1)"
weight = 1
priority = 0
models = ["$MODEL"]
services = ["desk"]

[[serve]]
id = "$MODEL"
model = "$MODEL"
replicas = 5
EOF
for name in "${!address_of[@]}"; do
    [[ $name == desk-* ]] && continue
    for ((try = 0; try < 50; try++)); do
        curl -sf -X PUT -d "{\"vm\":\"$name\",\"state\":\"live\"}" "http://$vm_list/" && break
        sleep 0.1
    done
done

echo "== apply the register and the rules"
apply() {
    "$bin_dir/eelgrassdealctl" apply --register "$register" --rules "$work_dir/rules.toml" \
        --table-url "http://$table" --author demo --admin-token-file "$work_dir/admin" \
        "${node_options[@]}" --wait 15 || fail "apply"
}
apply
caller=("$bin_dir/eelgrassdeal-caller")
chat() { "${caller[@]}" chat "${node_options[@]}" --key-file "$work_dir/key" "$@"; }
count_matches() { # pattern; prints the number of matches in the input
    { grep -o "$1" || true; } | wc -l
}
running_requests() { # VM; prints the number of requests that its engine is running
    curl -s "http://${address_of[$1]}/status" | sed -n 's/.*"running":\([0-9]*\).*/\1/p'
}
status_field() { # VM, field; prints a text field of the engine's status
    curl -s "http://${address_of[$1]}/status" | sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p"
}
# Prints the number of requests that the engines of a data centre have started. Engines that the
# demo has killed are not counted.
started_requests() { # data centre number
    local worker total=0
    for ((worker = 0; worker < ENGINES_PER_CENTRE; worker++)); do
        local vm="dc$1-w$worker"
        [[ -n ${pid_of[$vm]:-} ]] || continue
        total=$((total + $(curl -s "http://${address_of[$vm]}/log" | count_matches '"id"')))
    done
    echo "$total"
}
until chat --tokens 2 --deadline-ms 2000 >/dev/null 2>&1; do
    check_time_limit
    sleep 0.2
done
echo "serving after $SECONDS s"

echo "== kill a member of a group during a stream"
chat --prompt "appraise lot 8" --tokens 250 >"$work_dir/killed.json" &
chat_pid=$!
victim=""
while [[ -z $victim ]]; do
    check_time_limit
    kill -0 "$chat_pid" 2>/dev/null || fail "the response ended before a member was killed"
    for vm in "${!address_of[@]}"; do
        [[ $vm == dc* ]] || continue
        running=$(running_requests "$vm")
        [[ ${running:-0} -gt 0 ]] && leader=$vm && break
    done
    [[ -n ${leader:-} ]] || continue
    sleep 1
    for vm in "${!address_of[@]}"; do
        [[ $vm == dc* && $vm != "$leader" ]] || continue
        [[ $(status_field "$vm" group) == "$(status_field "$leader" group)" ]] && victim=$vm
    done
done
kill -9 "${pid_of[$victim]}"
wait "${pid_of[$victim]}" 2>/dev/null || true
unset "pid_of[$victim]"
wait "$chat_pid" || fail "the response is incomplete: $(cat "$work_dir/killed.json")"
echo "killed $victim (member of group $(status_field "$leader" group); the request runs at $leader)"
cat "$work_dir/killed.json"

echo "== repeat a booking with one idempotency key"
"${caller[@]}" service "${node_options[@]}" --key-file "$work_dir/key" --call book \
    --idempotency-key new --repeat 3 >"$work_dir/book.json" || fail "booking"
cat "$work_dir/book.json"
bookings=0
for ((index = 0; index < SERVICE_UPSTREAMS; index++)); do
    count=$(curl -s "http://${address_of[desk-$index]}/log" | count_matches '"call":"book"')
    bookings=$((bookings + count))
done
[[ $bookings == 1 ]] || fail "the booking ran $bookings times"

echo "== take dc1 out of service and return it to service"
set_centre_state() { # data centre, state
    sed -i "/^id = \"$1\"\$/,/^state/s/^state = .*/state = \"$2\"/" "$register"
    apply
}
chat --prompt "load" --tokens 40 --streams 12 --seconds 40 >"$work_dir/load.json" &
load_pid=$!
sleep 5
started_before=$(started_requests 1)
out_at_s=$SECONDS
set_centre_state dc1 out
sleep 5
started_after_5s=$(started_requests 1)
sleep 5
started_after_10s=$(started_requests 1)
set_centre_state dc1 in
returned_at_s=$SECONDS
while (($(started_requests 1) == started_after_10s)); do
    check_time_limit
    kill -0 "$load_pid" 2>/dev/null || fail "dc1 got no requests after its return"
    sleep 0.2
done
return_delay_s=$((SECONDS - returned_at_s))
wait "$load_pid" || echo "some responses were incomplete"
total=$(wc -l <"$work_dir/load.json")
complete=$(count_matches '"correct":true' <"$work_dir/load.json")
longest_gap_ms=$(sed -n 's/.*"longest_gap_ms":\([0-9.]*\).*/\1/p' "$work_dir/load.json" | sort -n |
    tail -1)

echo "== report"
echo "response despite the killed member:" \
    "$(count_matches '"correct":true' <"$work_dir/killed.json") of 1 complete," \
    "longest gap in a stream" \
    "$(sed -n 's/.*"longest_gap_ms":\([0-9.]*\).*/\1/p' "$work_dir/killed.json") ms"
echo "booking with one idempotency key, 3 calls: ran $bookings time"
echo "requests started in dc1:" \
    "$started_before before it was taken out of service (at $out_at_s s)," \
    "$((started_after_5s - started_before)) until 5 s after apply," \
    "$((started_after_10s - started_after_5s)) in the next 5 s," \
    "first new one $return_delay_s s after its return to service"
echo "responses meanwhile: $complete of $total complete," \
    "longest gap between tokens of a stream $longest_gap_ms ms"
((started_after_10s == started_after_5s)) ||
    fail "dc1 got new requests while it was out of service"
[[ $complete == "$total" ]] || fail "$((total - complete)) responses are incomplete"
echo "finished after $SECONDS s"
