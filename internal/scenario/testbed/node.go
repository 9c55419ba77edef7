package testbed

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"coralrelay/internal/operatorconfig"
)

// settings is what the rig's nodes are told of their world: the platform's form,
// with a short ramp, so that a scene need not wait for servers to warm up.
const settings = `{"classes":[{"name":"feed","objective":0.3,"deadline":1.8,"effect":"read_like"}],
"domain":{"groups":true,"messageAim":[0.06],"mode":"proxy"},"granularity":0.004,"nInstances":%d,"slotNo":%d,
"guarantees":{"askWithin":10,"ColdFrom":0.12,"drainGrace":0.3,"graceToAnswer":0.016,"rampTime":%d,"tipAfter":1.5,"tipMultiple":3},
"limits":{"connectTimeout":0.25,"maxRetryAfter":1,"mostTries":6,"probing":true,"retryAfter":true},
"registryMode":"on_request","report":{"via":"probe"},"weights":"rough","zone":%q}`

// NodeOptions say how a node is started.
type NodeOptions struct {
	Binary, Name, Dir, Discovery string
	Number, Nodes                int
	Mutation                     string
	OperatorConfig               *operatorconfig.File // nil for none
	Cores                        int                  // 0 for 1
	Sockets                      int                  // that it may use; 0 for 4096
	Ramp                         int                  // seconds until a server is warm; 0 for 2
	Zone                         string               // where it stands; empty for a
}

// Node is one real node, a process of its own.
type Node struct {
	NodeOptions
	Addr    string
	Process *Process

	mu   sync.Mutex
	gone time.Time // since when the front sends nobody there; zero while it does
	fell time.Time // when it was last killed or told to end
}

// Reserve returns an address on which nobody listens.
func Reserve() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// NewNode writes a node's files; Start starts it.
func NewNode(o NodeOptions) (*Node, error) {
	addr, err := Reserve()
	if err != nil {
		return nil, err
	}
	n := &Node{NodeOptions: o, Addr: addr, Process: &Process{Name: "node " + o.Name, Binary: o.Binary, Dir: o.Dir, Log: "log",
		Env: []string{"BALANCER_CONFIG=" + filepath.Join(o.Dir, "config.json"), "CORALRELAY_SABOTAGE=" + o.Mutation}}}
	if o.OperatorConfig != nil {
		n.Process.Args = []string{"--config", filepath.Join(o.Dir, "operator.json")}
	}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, err
	}
	platform := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"%016x","limits":{"cores":%d,"memory_mb":192,"sockets":%d},"settings":%s}`,
		o.Name, addr, o.Discovery, 0x8c1f30d27a5be964+uint64(o.Number), max(o.Cores, 1), cmp.Or(o.Sockets, 4096),
		fmt.Sprintf(settings, o.Nodes, o.Number, cmp.Or(o.Ramp, 2), cmp.Or(o.Zone, "a")))
	if err := os.WriteFile(filepath.Join(o.Dir, "config.json"), []byte(platform), 0o600); err != nil {
		return nil, err
	}
	if o.OperatorConfig != nil {
		raw, err := json.MarshalIndent(o.OperatorConfig, "", "  ")
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(filepath.Join(o.Dir, "operator.json"), raw, 0o600); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// Start starts the node and waits until it accepts callers.
func (n *Node) Start(ctx context.Context) error {
	if err := n.Process.Start(); err != nil {
		return err
	}
	done := n.Process.Done()
	for {
		conn, err := net.DialTimeout("tcp", n.Addr, time.Second)
		if err == nil {
			_ = conn.Close()
			break
		}
		select {
		case <-done:
			return fmt.Errorf("node %s ended at its start: %s", n.Name, n.Process.Tail())
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gone = time.Time{}
	return nil
}

// Kill ends the node outright.
func (n *Node) Kill() {
	n.leave(0)
	n.Process.Kill()
}

// leave has the front send nobody to the node any more from so much later on. Start ends it.
func (n *Node) leave(later time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gone, n.fell = time.Now().Add(later), time.Now()
}

// Restart asks the node to end, as a planned restart does, and starts it again.
func (n *Node) Restart(ctx context.Context) error {
	if err := n.Terminate(); err != nil {
		return err
	}
	return n.Start(ctx)
}

// Terminate asks the node to end, as a planned restart does, and waits until it has.
func (n *Node) Terminate() error {
	n.leave(300 * time.Millisecond) // the front notices a moment later, as the protocol has it
	n.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.Process.Done():
	case <-time.After(5 * time.Second):
		n.Kill()
		return fmt.Errorf("%s did not end within 5 s of SIGTERM", n.Process.Name)
	}
	return nil
}

// Resident is the node's resident memory in bytes, 0 if it can't be told.
func (n *Node) ResidentMemory() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.Process.Pid()))
	var size, resident int64
	if _, err2 := fmt.Sscan(string(raw), &size, &resident); err != nil || err2 != nil {
		return 0
	}
	return float64(resident * int64(os.Getpagesize()))
}
