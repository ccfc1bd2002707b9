#!/usr/bin/env bash
# Starts a fleet as separate processes on loopback and shows: an answer that stays whole when an
# engine member is killed, a booking that runs once under a repeated key, and a data centre that
# operators take out and bring back while requests go on. Ends by itself and stops its processes.
set -euo pipefail
cd "$(dirname "$0")/.."

CENTRES=3
ENGINES_PER_CENTRE=4
SERVICES=3
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
bin="${CARGO_TARGET_DIR:-target}/$PROFILE"

work=$(mktemp -d)
declare -A pid_of=()
declare -A address_of=()
stop_all() {
    local name
    for name in "${!pid_of[@]}"; do
        kill -9 "${pid_of[$name]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT
trap 'echo "interrupted" >&2; exit 1' INT TERM
SECONDS=0

fail() {
    echo "demo failed: $1" >&2
    tail -n 5 "$work"/entry-0.log >&2 || true
    exit 1
}
check_time() {
    ((SECONDS < TIME_LIMIT_S)) || fail "not finished after $TIME_LIMIT_S s"
}
start() { # name, command...
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pid_of[$name]=$!
}
# Ports below 32768 are not given to outgoing connections.
next_port=$((12000 + $$ % 180 * 100))
new_address() { # sets $address
    address="127.0.0.1:$next_port"
    next_port=$((next_port + 1))
}
new_address; table=$address
new_address; object=$address
new_address; vm_list=$address
new_address; weights=$address

echo "== start the fleet"
start platform "$bin/eelgrassdeal-standin" platform --table "$table" --object "$object" \
    --vm-list "$vm_list" --weights "$weights" --vm-list-lag-ms 500
register="$work/register.toml"
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
        new_address; address_of[$vm]=$address
        start "$vm" "$bin/eelgrassdeal-standin" engine --vm "$vm" --listen "$address" \
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
for ((index = 0; index < SERVICES; index++)); do
    new_address; address_of[desk-$index]=$address
    start "desk-$index" "$bin/eelgrassdeal-standin" service --listen "$address"
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
printf 'demo-admin\n' >"$work/admin"
printf '%s\n' "$ACCOUNT_KEY" >"$work/key"
certificate_nodes=()
for ((index = 0; index < NODES; index++)); do
    certificate_nodes+=(--node "entry-$index")
done
"$bin/eelgrassdeal-standin" certificates --dir "$work/tls" "${certificate_nodes[@]}"
node_options=()
for ((index = 0; index < NODES; index++)); do
    name="entry-$index"
    new_address; listen=$address
    new_address; peer_listen=$address
    address_of[$name]=$listen
    node_options+=(--node "$listen")
    cat >"$work/$name.toml" <<EOF
node = "$name"
data_centre = "dc$((index % CENTRES))"
listen = "$listen"
peer_listen = "$peer_listen"
table_url = "http://$table"
object_url = "http://$object"
vm_list_url = "http://$vm_list"
admin_token_file = "$work/admin"

[peer_tls]
certificate_file = "$work/tls/$name.pem"
key_file = "$work/tls/$name-key.pem"
ca_file = "$work/tls/ca.pem"
EOF
    start "$name" "$bin/eelgrassdeal-node" --settings "$work/$name.toml"
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
cat >"$work/rules.toml" <<EOF
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
    "$bin/eelgrassdealctl" apply --register "$register" --rules "$work/rules.toml" \
        --table-url "http://$table" --author demo --admin-token-file "$work/admin" \
        "${node_options[@]}" --wait 15 || fail "apply"
}
apply
caller=("$bin/eelgrassdeal-caller")
chat() { "${caller[@]}" chat "${node_options[@]}" --key-file "$work/key" "$@"; }
count_of() { # pattern; how often it is in the input
    { grep -o "$1" || true; } | wc -l
}
running_of() { # VM; requests that its engine runs
    curl -s "http://${address_of[$1]}/status" | sed -n 's/.*"running":\([0-9]*\).*/\1/p'
}
field_of() { # VM, field; text field of the status
    curl -s "http://${address_of[$1]}/status" | sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p"
}
runs_in() { # data centre; requests that its engines began to run
    local worker total=0
    for ((worker = 0; worker < ENGINES_PER_CENTRE; worker++)); do
        local vm="dc$1-w$worker"
        [[ -n ${pid_of[$vm]:-} ]] || continue
        total=$((total + $(curl -s "http://${address_of[$vm]}/log" | count_of '"id"')))
    done
    echo "$total"
}
until chat --tokens 2 --deadline-ms 2000 >/dev/null 2>&1; do
    check_time
    sleep 0.2
done
echo "serving after $SECONDS s"

echo "== kill an engine member in mid-stream"
chat --prompt "appraise lot 8" --tokens 250 >"$work/killed.json" &
chat_pid=$!
victim=""
while [[ -z $victim ]]; do
    check_time
    kill -0 "$chat_pid" 2>/dev/null || fail "the answer ended before a member was killed"
    for vm in "${!address_of[@]}"; do
        [[ $vm == dc* ]] || continue
        running=$(running_of "$vm")
        [[ ${running:-0} -gt 0 ]] && leader=$vm && break
    done
    [[ -n ${leader:-} ]] || continue
    sleep 1
    for vm in "${!address_of[@]}"; do
        [[ $vm == dc* && $vm != "$leader" ]] || continue
        [[ $(field_of "$vm" group) == "$(field_of "$leader" group)" ]] && victim=$vm
    done
done
kill -9 "${pid_of[$victim]}"
wait "${pid_of[$victim]}" 2>/dev/null || true
unset "pid_of[$victim]"
wait "$chat_pid" || fail "the answer is not whole: $(cat "$work/killed.json")"
echo "killed $victim (group $(field_of "$leader" group), requests at $leader)"
cat "$work/killed.json"

echo "== book under a repeated key"
"${caller[@]}" service "${node_options[@]}" --key-file "$work/key" --call book \
    --idempotency-key new --repeat 3 >"$work/book.json" || fail "booking"
cat "$work/book.json"
bookings=0
for ((index = 0; index < SERVICES; index++)); do
    count=$(curl -s "http://${address_of[desk-$index]}/log" | count_of '"call":"book"')
    bookings=$((bookings + count))
done
[[ $bookings == 1 ]] || fail "the booking ran $bookings times"

echo "== take dc1 out and bring it back"
set_centre() { # data centre, state
    sed -i "/^id = \"$1\"\$/,/^state/s/^state = .*/state = \"$2\"/" "$register"
    apply
}
chat --prompt "load" --tokens 40 --streams 12 --seconds 40 >"$work/load.json" &
load_pid=$!
sleep 5
before_out=$(runs_in 1)
out_at=$SECONDS
set_centre dc1 out
sleep 5
after_bound=$(runs_in 1)
sleep 5
while_out=$(runs_in 1)
set_centre dc1 in
back_at=$SECONDS
while (($(runs_in 1) == while_out)); do
    check_time
    kill -0 "$load_pid" 2>/dev/null || fail "dc1 got no work after its return"
    sleep 0.2
done
returned_s=$((SECONDS - back_at))
wait "$load_pid" || echo "some answers were not whole"
total=$(wc -l <"$work/load.json")
whole=$(count_of '"correct":true' <"$work/load.json")
gap=$(sed -n 's/.*"longest_gap_ms":\([0-9.]*\).*/\1/p' "$work/load.json" | sort -n | tail -1)

echo "== report"
echo "answer over the killed member: $(count_of '"correct":true' <"$work/killed.json") of 1 whole," \
    "longest gap $(sed -n 's/.*"longest_gap_ms":\([0-9.]*\).*/\1/p' "$work/killed.json") ms"
echo "booking under one key, 3 calls: ran $bookings time"
echo "requests run in dc1: $before_out before it left (at $out_at s)," \
    "$((after_bound - before_out)) in the 5 s after apply, $((while_out - after_bound)) in the" \
    "5 s after that, first new one $returned_s s after its return"
echo "answers meanwhile: $whole of $total whole, longest gap between tokens $gap ms"
((while_out == after_bound)) || fail "dc1 got new work while it was out"
[[ $whole == "$total" ]] || fail "$((total - whole)) answers are not whole"
echo "finished after $SECONDS s"
