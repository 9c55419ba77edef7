package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Config is the platform's file for a node.
type Config struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    map[string]any  `json:"limits"`
	Known     List            `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// NewConfig returns the file of a small node.
func NewConfig(listen string, discovery *Discovery) Config {
	return Config{Name: "n1", Listen: listen, Discovery: discovery.Addr, Seed: "8c1f30d27a5be964",
		Limits: map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		Known:  discovery.Whole(), Settings: json.RawMessage(discovery.c.Site.Settings)}
}

// WriteJSON writes a file in the case's folder and returns its path.
func (c *Case) WriteJSON(name string, value any) (path string, err error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return "", err
	}
	path = filepath.Join(c.Dir, name)
	return path, os.WriteFile(path, raw, 0o600)
}

// FreeAddr returns a loopback address on which nothing listens.
func FreeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// Node is one process of a node.
type Node struct {
	Name, Mgmt string

	c    *Case
	cmd  *exec.Cmd
	done chan struct{}
}

// StartNode starts a node as the platform does: by the line run of the deploy file, with /bin/sh. The
// listening socket of clients is passed on as descriptor 4, if there is one.
func StartNode(c *Case, name, configFile string, listening *os.File) (*Node, error) {
	run, err := deployRun()
	if err != nil {
		return nil, err
	}
	mgmt, err := FreeAddr()
	if err != nil {
		return nil, err
	}
	temporary := filepath.Join(c.Dir, "tmp")
	if err := os.MkdirAll(temporary, 0o700); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(c.Dir, name+".log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+configFile, "BALANCER_MGMT="+mgmt, "TMPDIR="+temporary)
	cmd.Stderr = log
	if listening != nil {
		cmd.Env = append(cmd.Env, "BALANCER_INHERITED_FD=4")
		cmd.ExtraFiles = []*os.File{log, listening} // descriptors 3 and 4
	}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return nil, err
	}
	n := &Node{Name: name, Mgmt: mgmt, c: c, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(n.done)
	}()
	c.Defer(n.Kill)
	c.Log(name, "started, process %d, operators call at %s", cmd.Process.Pid, mgmt)
	return n, nil
}

// deployRun returns the line run of the deploy file.
func deployRun() (string, error) {
	raw, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(raw)
	if found == nil {
		return "", errors.New("deploy/balancer.toml has no run")
	}
	return string(found[1]), nil
}

// Ask makes an operator's call and returns the answer.
func (n *Node) Ask(call string) (string, error) {
	conn, err := net.DialTimeout("tcp", n.Mgmt, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "%s\r\n", call); err != nil {
		return "", err
	}
	answer, err := io.ReadAll(conn)
	return string(answer), err
}

// AwaitYes waits until the node says yes to PING, and returns when it did.
func (n *Node) AwaitYes(longest time.Duration) (time.Time, error) {
	for deadline := time.Now().Add(longest); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if answer, err := n.Ask("PING"); err == nil && strings.HasPrefix(answer, "200") {
			n.c.Log(n.Name, "said yes")
			return time.Now(), nil
		}
	}
	raw, _ := os.ReadFile(filepath.Join(n.c.Dir, n.Name+".log"))
	return time.Time{}, fmt.Errorf("%s did not say yes within %v: %s", n.Name, longest, raw)
}

// Alive reports whether the node's process has not ended.
func (n *Node) Alive() bool {
	select {
	case <-n.done:
		return false
	default:
		return true
	}
}

// ResidentMB returns the node's resident memory in MiB, or 0 if it can't be read.
func (n *Node) ResidentMB() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.cmd.Process.Pid))
	var size, resident int // pages
	if _, scanErr := fmt.Sscan(string(raw), &size, &resident); err != nil || scanErr != nil {
		return 0
	}
	return float64(resident) * float64(os.Getpagesize()) / (1 << 20)
}

// Signal sends a signal to the node.
func (n *Node) Signal(signal syscall.Signal) {
	n.c.Log(n.Name, "is sent %v", signal)
	_ = n.cmd.Process.Signal(signal)
}

// Terminate sends SIGTERM, and SIGKILL to a node that has not ended after the time.
func (n *Node) Terminate(longest time.Duration) {
	n.Signal(syscall.SIGTERM)
	select {
	case <-n.done:
		n.c.Log(n.Name, "has ended")
	case <-time.After(longest):
		n.Kill()
	}
}

// Kill kills the node, if it has not ended, and waits for its end.
func (n *Node) Kill() {
	select {
	case <-n.done:
	default:
		n.Signal(syscall.SIGKILL)
		<-n.done
	}
	if raw, err := os.ReadFile(filepath.Join(n.c.Dir, n.Name+".log")); err == nil {
		for line := range strings.Lines(string(raw)) {
			n.c.Log(n.Name, "log: %s", strings.TrimSpace(line))
		}
	}
}
