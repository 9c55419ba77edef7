package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"coralrelay/internal/scenario/testbed"
)

const nodeSettings = `{"classes":[
{"name":"feed","objective":0.3,"deadline":%[3]g,"effect":"read_like"},
{"name":"order","objective":0.3,"deadline":%[3]g,"effect":"idempotency_key","group":"all","window":0.6},
{"name":"pay","objective":0.3,"deadline":%[3]g,"effect":"non_idempotent"}],
"domain":{"groups":false,"messageAim":[0.06],"mode":"proxy"},"granularity":0.004,"nInstances":%[1]d,"slotNo":%[2]d,
"guarantees":{"askWithin":10,"coldFrom":0.12,"drainGrace":0.3,"graceToAnswer":0.016,"rampTime":10,"tipAfter":1.5,"tipMultiple":3},
"limits":{"connectTimeout":0.25,"maxRetryAfter":1,"mostTries":6,"probing":true,"retryAfter":true},
"registryMode":"on_request","report":{"via":"probe"},"weights":"rough","zone":"a"}`

// nodeMemoryMB is the memory limit of a node in MiB.
const nodeMemoryMB = 192

// deadlines are the maximum deadlines of the deployments that the seed selects from. A short
// deadline makes killDelay short.
var deadlines = []time.Duration{1200 * time.Millisecond, 400 * time.Millisecond, 1200 * time.Millisecond}

// deadline is the deadline of all classes in the run's deployment, and the patience of well-behaved
// clients.
func (r *run) deadline() time.Duration { return deadlines[r.Options.Seed%uint64(len(deadlines))] }

// killDelay is the time from SIGTERM to SIGKILL, the shortest that the operators' documentation
// allows.
func (r *run) killDelay() time.Duration { return r.deadline() + 700*time.Millisecond }

// node is one node of the fleet. If it supports hot restart, the scenario owns its listening
// socket.
type node struct {
	run         *run
	number      int
	dir         string
	addr        string    // address of its listener
	clientAddr  string    // address for clients, through the proxy
	discoveries [2]string // addresses of the discovery service, through the proxy
	socket      *os.File  // nil unless it is inherited

	mu            sync.Mutex
	process       *testbed.Process
	discovery     int           // index in discoveries of the configured address
	noClientsFrom time.Duration // time from which clients stay away; -1 while they connect
	busy          bool          // a fault of the process is in progress
}

func (n *node) writeConfig() error {
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"%016x",`+
		`"limits":{"cores":1,"memory_mb":%d,"sockets":%d},"settings":%s}`,
		nodeName(n.number), n.addr, n.discoveries[n.discovery],
		n.run.Options.Seed*1000+uint64(n.number), nodeMemoryMB, nodeSockets,
		fmt.Sprintf(nodeSettings, n.run.Nodes, n.number, n.run.deadline().Seconds()))
	return os.WriteFile(n.configFile(), []byte(text), 0o600)
}

func (n *node) configFile() string { return filepath.Join(n.dir, "config.json") }
func (n *node) faultFile() string  { return filepath.Join(n.dir, "faults.json") }
