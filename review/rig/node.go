package rig

import (
	"bufio"
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"coralrelay/internal/loopback"
)

// readyTimeout is how long a node may take until it answers PING.
const readyTimeout = 10 * time.Second

// DefaultClasses is the only class of the deployment tramado-sul.
const DefaultClasses = `{"credit":1,"deadline":1.8,"effect":"read_like","group":"all","lateValue":0,` +
	`"name":"listing-feed","objective":0.3,"streaming":true,"window":5}`

// settingsFormat has the settings of the example on the wire page, with the given classes, number of
// instances and number of this instance.
const settingsFormat = `{"classes":[%s],"clients":{"marksRetry":true},"countedBy":"request",
"domain":{"groups":false,"messageAim":[0.06],"mode":"proxy","tellsDelay":false,"tellsLoad":false},
"family":"conn","granularity":0.004,
"guarantees":{"askWithin":10,"coldFrom":0.12,"drainGrace":0.3,"graceToAnswer":0.016,"rampTime":23,"tipAfter":1.5,"tipMultiple":3},
"kinds":["fast-3","slow-3"],
"limits":{"cancel":true,"connectTimeout":0.25,"maxRetryAfter":1,"mostTries":6,"peers":false,"probing":true,"retryAfter":true,"secondCopies":false},
"nInstances":%d,"registryMode":"on_request","report":{"fields":["outstanding","x0","recent_ms"],"via":"probe"},
"slotNo":%d,"tenants":[],"tier":0,"tiers":["live-feed"],"weights":"rough","zone":"poa-1","zones":["poa-1","cwb-1"]}`

// NodeOptions describes a node.
type NodeOptions struct {
	Name         string
	Number, Of   int      // number of this node, from 0, and how many there are
	Discovery    string   // its address
	Classes      string   // JSON, separated by commas; empty for DefaultClasses
	OperatorFile string   // JSON; empty for none
	Sockets      int      // limits.sockets; 0 for 1024
	Log          *os.File // the node's standard output and error; nil for a file
	// Settings is the settings object with verbs for the number of instances, this one's number and its zone;
	// empty for that of the wire page's example with Classes.
	Settings string
	Zone     string // used with Settings
}

// Node is a node that runs as a separate process.
type Node struct {
	NodeOptions
	Addr string

	c          *Case
	configFile string
	seed       uint64 // for random numbers; new with each start
	cmd        *exec.Cmd
	ended      chan struct{}
}

// StartNode starts a node with the command run of the deploy file and waits until it answers PING.
func StartNode(c *Case, options NodeOptions) (*Node, error) {
	addr, err := loopback.Reserve()
	if err != nil {
		return nil, err
	}
	dir := filepath.Join(c.Dir, options.Name)
	tmp := filepath.Join(dir, "tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	n := &Node{NodeOptions: options, Addr: addr, c: c, configFile: filepath.Join(dir, "config.json"),
		seed: rand.Uint64(), ended: make(chan struct{})}
	if err := n.WriteConfig(options.Classes); err != nil {
		return nil, err
	}
	run := "exec bin/coralrelay" // as in deploy/balancer.toml
	if options.OperatorFile != "" {
		path := filepath.Join(dir, "operator.json")
		if err := os.WriteFile(path, []byte(options.OperatorFile), 0o600); err != nil {
			return nil, err
		}
		run += " --config " + path
	}
	log := options.Log
	if log == nil {
		if log, err = os.Create(filepath.Join(dir, "log")); err != nil {
			return nil, err
		}
	}
	n.cmd = exec.Command("/bin/sh", "-c", run)
	n.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+n.configFile, "TMPDIR="+tmp)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = n.cmd.Wait()
		close(n.ended)
	}()
	c.Cleanup(n.stop)
	c.Record("node %s started, process %d, listens on %s", n.Name, n.cmd.Process.Pid, addr)
	return n, n.awaitReady()
}

// HasEnded reports whether the node's process has ended, and how.
func (n *Node) HasEnded() (ended bool, state string) {
	select {
	case <-n.ended:
		return true, n.cmd.ProcessState.String()
	default:
		return false, ""
	}
}

// WriteConfig writes the platform's configuration file with the given classes.
func (n *Node) WriteConfig(classes string) error {
	if classes == "" {
		classes = DefaultClasses
	}
	settings := fmt.Sprintf(settingsFormat, classes, max(n.Of, 1), n.Number)
	if n.Settings != "" {
		settings = fmt.Sprintf(n.Settings, n.Of, n.Number, n.Zone)
	}
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"%016x",`+
		`"limits":{"cores":1,"memory_mb":192,"sockets":%d},"known":{"generation":0,"reset":true,"instances":[]},`+
		`"settings":%s}`, n.Name, n.Addr, n.Discovery, n.seed, cmp.Or(n.Sockets, 1024), settings)
	return os.WriteFile(n.configFile, []byte(text), 0o600)
}

// Reload sends SIGHUP.
func (n *Node) Reload() error {
	n.c.Record("node %s: SIGHUP", n.Name)
	return n.cmd.Process.Signal(syscall.SIGHUP)
}

// awaitReady waits until the node answers PING with PONG.
func (n *Node) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if answer, err := Ask(n.Addr, "PING", time.Second); err == nil && answer == "PONG" {
			n.c.Record("node %s is ready", n.Name)
			return nil
		}
	}
	return fmt.Errorf("node %s is not ready after %v", n.Name, readyTimeout)
}

// stop kills the node, waits for its end, and appends its log to the record.
func (n *Node) stop() {
	select {
	case <-n.ended:
		n.c.Record("node %s had ended before", n.Name)
	default:
		_ = n.cmd.Process.Kill()
		<-n.ended
	}
	if raw, err := os.ReadFile(filepath.Join(filepath.Dir(n.configFile), "log")); err == nil {
		n.c.Record("log of node %s:\n%s", n.Name, raw[max(0, len(raw)-8000):])
	}
}

// Ask sends one line to an address on a connection of its own and returns the first line of the answer.
func Ask(addr, line string, timeout time.Duration) (string, error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := fmt.Fprintf(conn, "%s\r\n", line); err != nil {
		return "", err
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return "", err
	}
	return answer[:max(0, len(answer)-2)], nil
}
