# Functions that the scripts of this review share: they start the users' platform's stand-in of the
# project and daemons with the command of deploy/system.toml, each a process on a loopback address of
# its own, and end them. A script sources this file from the root of the repository.
set -u

BIN=target/review-2
WORK=$(mktemp -d)
PIDS=()
HOST_NAME=t.example
SEED=127.0.0.41 # machine that the settings name as the seed

# cant_run says why a case can't run and ends the script with status 2.
cant_run() {
	echo "can't run: $*" >&2
	exit 2
}

# cleanup ends all processes that the script started, paused ones too.
cleanup() {
	exec 2>/dev/null
	local pid
	for pid in "${PIDS[@]}"; do
		kill -KILL "$pid" 2>/dev/null
	done
	wait
	rm -rf "$WORK"
}
trap cleanup EXIT

for program in target/hemlockd "$BIN/standin" "$BIN/tool"; do
	[ -x "$program" ] || cant_run "$program is missing; run the build line of deploy/system.toml and review/build-2.sh"
done

# json_text NAME reads JSON from standard input and prints the text of a field.
json_text() { sed -n "s/.*\"$1\":\"\([^\"]*\)\".*/\1/p"; }

# admin METHOD PATH [BODY] calls the administration of the stand-in.
admin() {
	curl -sS -f -X "$1" ${3:+-d "$3"} "http://$ADMIN$2" || cant_run "the stand-in refuses $1 $2"
}

# start_platform starts the stand-in of the platform and sets STORE and ADMIN.
start_platform() {
	"$BIN/standin" users-platform >"$WORK/platform.json" 2>"$WORK/platform.err" &
	PIDS+=($!)
	local i
	for i in $(seq 100); do
		[ -s "$WORK/platform.json" ] && break
		sleep 0.05
	done
	STORE=$(json_text store <"$WORK/platform.json")
	ADMIN=$(json_text admin <"$WORK/platform.json")
	[ -n "$STORE" ] && [ -n "$ADMIN" ] || cant_run "the stand-in of the platform did not start"
}

# add_server ID SERVICE STAGE SLOTS starts a server; STAGE is empty for a plain service.
add_server() {
	admin POST /servers "{\"id\":\"$1\",\"service\":\"$2\",\"zone\":\"brandon-a\",\"stage\":\"$3\",\"slots\":$4}"
}

# choose_ports chooses the ports of the daemons, the same for all of them.
choose_ports() {
	read -r -a PORTS < <("$BIN/tool" ports 4)
	[ "${#PORTS[@]}" -eq 4 ] || cant_run "no free ports"
}

# write_settings NAME IP GRACE_S LEASE_MS writes the settings file of a daemon, the rest with the figures of
# aps-poleworks. The file is replaced at once.
write_settings() {
	cat >"$WORK/$1.toml.new" <<END
NodeName = "$1"
Role = "router"
MachineClass = "front"
Serves = ["front", "control"]
Ip = "$2"
Zone = "brandon-a"
Region = "manitoba"
InternalPorts = [${PORTS[0]}, ${PORTS[0]}]
Seeds = ["$SEED:${PORTS[3]}"]
Bootstrap = true
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatMs = 1200
Contracts = ["base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "platform"]
[Zones]
brandon-a = "manitoba"
[Listen]
Front = "$2:${PORTS[1]}"
Ready = "$2:${PORTS[2]}"
Control = "$2:${PORTS[3]}"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 134
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
ContactMs = 4000
AckMs = 5000
CatchUpS = 4
DrainMs = 3000
GraceS = $3
LossSlackMs = 200
ConfigApplyMs = 3000
RollbackSlackMs = 250
MaxSkewMs = 6000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 52
RecoveryS = 12
TransitMs = 400
RetryAfterS = 3
FencingRequired = false
LeaseMs = $4
ThawSlackMs = 300
[Platform]
Address = "$STORE"
form = "table"
WritesPerS = 400
ReadsPerS = 2000
TxMs = 5.0
PartWritesS = 200
RowBytes = 65536
Across = false
HistoryS = 20
BlobBytes = 8388608
BlobMs = 25.0
BlobMbS = 80.0
END
	mv "$WORK/$1.toml.new" "$WORK/$1.toml"
}

# start_daemon NAME IP starts a daemon whose settings have been written and sets DAEMON_PID. The words
# are those of the deploy file's line "run".
start_daemon() {
	HEMLOCKMUX_BOOT="$WORK/$1.toml" target/hemlockd platform --metrics-port 9464 >>"$WORK/$1.log" 2>&1 &
	DAEMON_PID=$!
	PIDS+=("$DAEMON_PID")
}

# ready IP reports whether a daemon says that it is ready.
ready() {
	[ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://$1:${PORTS[2]}/hemlockmux/readiness")" = 200 ]
}

# await_ready IP waits until a daemon is ready.
await_ready() {
	local i
	for i in $(seq 200); do
		ready "$1" && return
		sleep 0.1
	done
	cant_run "the daemon at $1 did not become ready"
}
