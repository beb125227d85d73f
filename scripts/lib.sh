# Functions to start and stop a fleet on loopback, sourced by the other scripts.
# Ports from PORT_BASE (17000): platform 17000, entries 17001.., stewards 17101..,
# admin pages 17201.., targets 17300... Scripts with different bases may run at the same time.

bin=target/release
base=${PORT_BASE:-17000}
entry=127.0.0.1:$((base + 1))
first_target=$((base + 300))
pids=()

start() {
    local name=$1
    shift
    "$@" 2>"$logs/$name.log" >"$logs/$name.out" &
    pids+=($!)
}

stop_all() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    pids=()
}

wait_for() {
    for _ in $(seq 1 200); do
        if (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; then return 0; fi
        sleep 0.05
    done
    echo "nothing listens on port $1; see $logs" >&2
    exit 1
}

# start_vms COUNT DOMAIN_COUNT [steward flags]
start_vms() {
    local count=$1 domains=$2 names=() seeds=() n domain
    shift 2
    for n in $(seq 1 "$count"); do
        names+=("vm-$n")
        seeds+=("127.0.0.1:$((base + 100 + n))")
    done
    local list seed_list
    list=$(IFS=,; echo "${names[*]}")
    seed_list=$(IFS=,; echo "${seeds[*]}")
    export NOTCH_PLATFORM=http://127.0.0.1:$base
    start platform "$bin/notch-fake" platform --listen 127.0.0.1:$base --vms "$list"
    wait_for $base
    for n in $(seq 1 "$count"); do
        domain=rw-$(printf "\\x$(printf %x $((97 + (n - 1) % domains)))")
        start "steward-$n" "$bin/notch-steward" --vm "vm-$n" --domain "$domain" \
            --peer-address "127.0.0.1:$((base + 100 + n))" --admin-address "127.0.0.1:$((base + 200 + n))" \
            --entry-address "127.0.0.1:$((base + n))" --seeds "$seed_list" --drain-seconds 1 "$@"
        start "entry-$n" "$bin/notch-entry" --vm "vm-$n" --domain "$domain" \
            --listen "127.0.0.1:$((base + n))" --stewards "127.0.0.1:$((base + 100 + n)),$seed_list" \
            --drain-seconds 1
    done
    for n in $(seq 1 "$count"); do
        wait_for $((base + 100 + n)) && wait_for $((base + 200 + n)) && wait_for $((base + n))
    done
}

# start_engines DOMAIN_COUNT PER_DOMAIN [engine flags]; sets audits and audit_list
start_engines() {
    local domains=$1 per_domain=$2 port=$first_target d i
    shift 2
    audits=()
    for d in $(seq 1 "$domains"); do
        for i in $(seq 1 "$per_domain"); do
            start "app-$d-$i" "$bin/notch-fake" target --listen "127.0.0.1:$port" "$@"
            audits+=("127.0.0.1:$port")
            port=$((port + 1))
        done
    done
    audit_list=$(IFS=,; echo "${audits[*]}")
}

# write_table DOMAIN_COUNT PER_DOMAIN MEMORY COLD WARM "TEAM:WEIGHT:CEILING ..."
write_table() {
    local domains=$1 per_domain=$2 memory=$3 cold=$4 warm=$5 teams=$6 port=$first_target d i letter team name weight ceiling
    echo "kind,name,target,domain,owner,model,address,memory_tokens,cold_limit,warm_limit,fencing,weight,ceiling_tokens,key,state"
    for d in $(seq 1 "$domains"); do
        letter=$(printf "\\x$(printf %x $((96 + d)))")
        echo "domain,rw-$letter,,,,,,,,,,,,,in"
        for i in $(seq 1 "$per_domain"); do
            echo "engine,app-$letter$i,,rw-$letter,operator,appraisal,127.0.0.1:$port,$memory,$cold,$warm,yes,,,,in"
            port=$((port + 1))
        done
    done
    for team in $teams; do
        IFS=: read -r name weight ceiling <<<"$team"
        echo "team,$name,,,,,,,,,,$weight,$ceiling,$name-key,"
        echo "approval,$name,app-*,,,,,,,,,,,,approved"
    done
}
