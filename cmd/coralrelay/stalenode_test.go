package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"coralrelay/internal/testsocket"
)

// staleNode is a node that discovery never notifies of the departure of an endpoint.
type staleNode struct {
	*process
	t          *testing.T
	addr       string
	startedAt  time.Time
	lastSentAt []atomic.Int64 // per endpoint: the time of its last first line, in nanoseconds since startedAt
	calls      atomic.Int32   // number of calls to discovery
	isRestored atomic.Bool    // discovery answers all calls with the list
}

// staleFleet has the number of instances in a stale node's settings, and of endpoints in its list.
type staleFleet struct{ instances, endpoints int }

// startStaleNode starts a node of a fleet. Discovery handles its calls with fault, except that the first
// call is handled with firstCall, given the node's list, if that is set. If fault is nil, connections to
// discovery are refused.
func startStaleNode(
	t *testing.T, fleet staleFleet, firstCall func(list string) faultyCall, fault faultyCall,
) *staleNode {
	t.Helper()
	n := &staleNode{t: t, addr: freeAddr(t), lastSentAt: make([]atomic.Int64, fleet.endpoints)}
	var list []string
	for i := range fleet.endpoints {
		upstreamAddr := testsocket.Serve(t, serveUpstreamWithHook(func() {
			n.lastSentAt[i].Store(int64(time.Since(n.startedAt)))
		}))
		list = append(list, fmt.Sprintf(`{"instanceId":"s%d","hostPort":%q,"zone":"a","lifecycle":"active","startedAtMs":0}`,
			i, upstreamAddr))
	}
	known := fmt.Sprintf(`{"generation":1,"reset":true,"instances":[%s]}`, strings.Join(list, ","))
	discovery := freeAddr(t)
	if fault != nil {
		discovery = testsocket.Serve(t, func(conn net.Conn) {
			if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
				return
			}
			isFirst := n.calls.Add(1) == 1
			switch {
			case n.isRestored.Load():
				answerThenHold(okHead + known + "\n")(conn)
			case isFirst && firstCall != nil:
				firstCall(okHead + known + "\n")(conn)
			default:
				fault(conn)
			}
		})
	}
	path := filepath.Join(t.TempDir(), "config.json")
	raw := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":64,"sockets":512},"settings":%s,"known":%s}`,
		n.addr, discovery, fleetSettings(fleet.instances), known)
	if err := os.WriteFile(path, []byte(raw), 0o600); err != nil {
		t.Fatal(err)
	}
	n.startedAt = time.Now()
	n.process = startProcess(t, path, t.TempDir(), nil)
	awaitListening(t, n.addr)
	return n
}

// lastSent returns when the last first line arrived at any endpoint, since the start. It considers all
// endpoints, because the node is not notified which one has left.
func (n *staleNode) lastSent() (latest time.Duration) {
	for i := range n.lastSentAt {
		latest = max(latest, time.Duration(n.lastSentAt[i].Load()))
	}
	return latest
}

// lateAnswers counts the answers to the requests that were sent after a given time.
type lateAnswers struct {
	mu                sync.Mutex
	counts            map[string]int // by the answer's first word
	slow              int            // answers that took longer than promptAnswerLimit
	withoutRetryAfter int            // BUSY answers without a Retry-After
}

func (a *lateAnswers) record(answer string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	word, retryAfter, _ := strings.Cut(answer, " ")
	a.counts[word]++
	if word == "BUSY" && retryAfter == "" {
		a.withoutRetryAfter++
	}
	if took > promptAnswerLimit {
		a.slow++
	}
}

// sendRequests sends requests until the run is over, and returns the answers to the requests that were sent
// after the time from, measured since the node's start.
func (n *staleNode) sendRequests(from time.Duration) *lateAnswers {
	late := &lateAnswers{counts: map[string]int{}}
	var clients sync.WaitGroup
	defer clients.Wait()
	for i := 0; time.Since(n.startedAt) < staleRunDuration; i++ {
		clients.Go(func() {
			sentAt := time.Since(n.startedAt)
			answer := n.request(fmt.Sprint("r", i))
			if sentAt > from {
				late.record(answer, time.Since(n.startedAt)-sentAt)
			}
		})
		time.Sleep(staleRequestInterval)
	}
	return late
}

// request sends one request and returns its answer, or the text of an error.
func (n *staleNode) request(id string) string {
	conn, err := net.Dial("tcp", n.addr)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprint(conn, openLine(id))
	answer, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return err.Error()
	}
	return strings.TrimSuffix(answer, "\r\n")
}

// sendRequests sends requests to all nodes at the same time until the run of each is over. It returns, per
// node, the answers to the requests that were sent after the time from, measured since the node's start.
func sendRequests(nodes map[string]*staleNode, from time.Duration) map[string]*lateAnswers {
	late := map[string]*lateAnswers{}
	var mu sync.Mutex
	var running sync.WaitGroup
	for name, n := range nodes {
		running.Go(func() {
			answers := n.sendRequests(from)
			mu.Lock()
			defer mu.Unlock()
			late[name] = answers
		})
	}
	running.Wait()
	return late
}

// restoreDiscovery lets discovery answer from now on, and returns how long it takes until a client is served.
func (n *staleNode) restoreDiscovery() time.Duration {
	n.isRestored.Store(true)
	start := time.Now()
	for i := 0; time.Since(start) < testTimeout; i++ {
		if strings.HasPrefix(n.request(fmt.Sprint("b", i)), "UP") {
			break
		}
		time.Sleep(staleRequestInterval)
	}
	return time.Since(start)
}

// endStaleNodes terminates the nodes and requires that none has logged a violated invariant.
func endStaleNodes(nodes map[string]*staleNode) {
	for _, n := range nodes {
		n.signal(syscall.SIGTERM)
	}
	for _, n := range nodes {
		n.expectExit()
	}
}
