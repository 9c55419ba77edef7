package testbed

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"coralrelay/internal/loopback"
	"coralrelay/internal/operatorconfig"
)

// The files in a node's directory.
const (
	platformConfigFile = "config.json"
	operatorConfigFile = "operator.json"
	nodeLogFile        = "log"
)

// mutationVariable is the environment variable that selects the guard to switch off in binaries built
// with the tag mutation.
const mutationVariable = "CORALRELAY_SABOTAGE"

// platformSettings is the format of the settings that the platform gives to nodes. Its ramp is short
// so that scenarios do not have to wait long for servers to warm up.
const platformSettings = `{"classes":[{"name":"feed","objective":0.3,"deadline":1.8,"effect":"read_like"}],
"domain":{"groups":true,"messageAim":[0.06],"mode":"proxy"},"granularity":0.004,"nInstances":%d,"slotNo":%d,
"guarantees":{"askWithin":10,"ColdFrom":0.12,"drainGrace":0.3,"graceToAnswer":0.016,"rampTime":%d,"tipAfter":1.5,"tipMultiple":3},
"limits":{"connectTimeout":0.25,"maxRetryAfter":1,"mostTries":6,"probing":true,"retryAfter":true},
"registryMode":"on_request","report":{"via":"probe"},"weights":"rough","zone":%q}`

// platformConfig is the format of the platform's configuration file for a node.
const platformConfig = `{"name":%q,"listen":%q,"discovery":%q,"seed":"%016x",` +
	`"limits":{"cores":%d,"memory_mb":192,"sockets":%d},"settings":%s}`

// baseSeed is the seed of node 0. The seed of any other node is baseSeed plus its number.
const baseSeed uint64 = 0x8c1f30d27a5be964

// Defaults for node options that are not set.
const (
	defaultSockets = 4096
	defaultRamp    = 2 // seconds
	defaultZone    = "a"
)

// NodeOptions configures a node.
type NodeOptions struct {
	Binary         string
	Name           string
	Dir            string // directory of the node's files
	Discovery      string // address of the node's discovery service
	Number         int    // index among all nodes, from 0
	Nodes          int
	Mutation       string
	OperatorConfig *operatorconfig.File // nil to start the node without one
	Cores          int                  // 0 means 1
	Sockets        int                  // maximum number of sockets; 0 means defaultSockets
	Ramp           int                  // seconds until a server is warm; 0 means defaultRamp
	Zone           string               // empty means defaultZone
}

// NewNode writes a node's configuration files and returns the node without starting it.
func NewNode(options NodeOptions) (*Node, error) {
	addr, err := loopback.Reserve()
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(options.Dir, 0o700); err != nil {
		return nil, err
	}
	platformFile := filepath.Join(options.Dir, platformConfigFile)
	if err := os.WriteFile(platformFile, options.platformConfig(addr), 0o600); err != nil {
		return nil, err
	}
	process := &Process{
		Name:   "node " + options.Name,
		Binary: options.Binary,
		Dir:    options.Dir,
		Log:    nodeLogFile,
		Env:    []string{"BALANCER_CONFIG=" + platformFile, mutationVariable + "=" + options.Mutation},
	}
	if options.OperatorConfig != nil {
		operatorFile := filepath.Join(options.Dir, operatorConfigFile)
		if err := writeJSON(operatorFile, options.OperatorConfig); err != nil {
			return nil, err
		}
		process.Args = []string{"--config", operatorFile}
	}
	return &Node{NodeOptions: options, Addr: addr, Process: process}, nil
}

// platformConfig returns the platform's configuration file for a node that accepts clients at addr.
func (o NodeOptions) platformConfig(addr string) []byte {
	settings := fmt.Sprintf(platformSettings, o.Nodes, o.Number, cmp.Or(o.Ramp, defaultRamp), cmp.Or(o.Zone, defaultZone))
	return fmt.Appendf(nil, platformConfig, o.Name, addr, o.Discovery, baseSeed+uint64(o.Number),
		max(o.Cores, 1), cmp.Or(o.Sockets, defaultSockets), settings)
}

// writeJSON writes a value as JSON to a file that only its owner may read.
func writeJSON(file string, value any) error {
	raw, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, raw, 0o600)
}
