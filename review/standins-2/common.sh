# Parts that the scripts of the second review share; sourced by review/N/run.sh.
#
# Each script plays the store, the replicas and the clients with stand-ins, and starts the project's own program with
# the command of the deploy file. Before it sources this file it sets `case_dir`, its folder, and `record`, the file
# there to which the script and its stand-ins write what was sent, answered and run.

set -u
repository=$(cd "$case_dir/../.." && pwd)
trouble=${TROUBLE:-1}
standin=$repository/target/review-2/standin-2
work=$(mktemp -d)

# Ends all processes that this script started.
end_all() {
    for pid in $(jobs -rp); do
        kill -KILL "$pid" 2> /dev/null
    done
    wait 2> /dev/null
    rm -rf "$work"
}
trap end_all EXIT

say() {
    echo "$*" | tee -a "$record"
}

# The case couldn't run.
give_up() {
    say "could not run: $*"
    exit 2
}

[ -x "$standin" ] || give_up "no stand-ins; run review/build-2.sh"
[ -x "$repository/target/dragonflymill" ] || give_up "no program; run the build line of deploy/system.toml"

is_free() {
    ! (exec 3<> "/dev/tcp/$1/$2") 2> /dev/null
}

# A loopback network of this run's own: $net.N are the addresses of machines, with ports that nobody uses there.
for attempt in 1 2 3 4 5 6 7 8; do
    net=127.$((RANDOM % 100 + 100)).$((RANDOM % 250 + 1))
    free=1
    for machine in 1 2 3 4 5 6; do
        for port in 8220 8223 8227 8229 7340 9464 8080; do
            is_free "$net.$machine" "$port" || free=0
        done
    done
    [ $free = 1 ] && break
done
[ $free = 1 ] || give_up "no free ports"
store=$net.1:8223

# Starts a stand-in in the background; its lines go to the record.
play() {
    "$standin" "$@" >> "$record" 2>&1 &
}

# Writes an item to the store: KEY, and its value from the standard input.
put() {
    cat > "$work/item"
    "$standin" put to="$store" key="$1" file="$work/item" || give_up "the store doesn't answer"
}

# Writes the settings file of the gateway on machine N, like those of a small deployment.
settings() {
    cat << END
nodeName=front-tw-north-a-$1
role=gateway
machineClass=front
serves=front,control
ip=$net.$1
zone=tw-north-a
region=tw-north
zones.tw-north-a=tw-north
listen.front=$net.$1:8227
listen.ready=$net.$1:8220
listen.control=$net.$1:8229
internalPorts=7340,7355
seeds=$seeds
bootstrap=true
countsLoss=false
limits.cpuShare=0.19
limits.cores=1
limits.memoryMb=260
limits.maxFds=4200
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,spans
faultTolerance.machines=2
faultTolerance.zones=1
faultTolerance.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.stableWindowMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.maxStretchMs=5000
bounds.strictRevoke=false
bounds.revokeMs=5000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.retrySlack=100
bounds.coldOverage=1.5
bounds.coldSlack=5
bounds.evacuateMs=5000
bounds.recoveryS=12
bounds.passMs=120
bounds.againS=0
bounds.stall_ms=1500
bounds.holdMaxMs=20000
bounds.freeMs=4000
bounds.idleMaxMs=9000
platform.address=$store
platform.form=read
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
END
}

# Starts the gateway on machine N with the command of the deploy file; its process is then $gateway_N.
start_gateway() {
    settings "$1" > "$work/gateway-$1.conf"
    local run
    run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$repository/deploy/system.toml")
    # shellcheck disable=SC2086  # split at spaces, as the platform does
    (cd "$repository" && DRAGONFLYMILL_NODE_FILE=$work/gateway-$1.conf exec $run >> "$work/gateway-$1.log" 2>&1) &
    eval "gateway_$1=$!"
}

wait_until_ready() {
    "$standin" ready to="$net.$1:8220" || give_up "gateway $1 isn't ready"
}

# The clock of the record.
now_ms() {
    awk '{ printf "%d\n", $1 * 1000 }' /proc/uptime
}
