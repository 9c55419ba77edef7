package soak

import (
	"context"
	"encoding/json"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/scenario/faultproxy"
)

// systemCallErrors are the errors that a system-call fault selects from.
var systemCallErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ECONNABORTED}

// failsAccept reports whether a system-call fault applies to accept rather than to connect.
func (f *Fault) failsAccept() bool { return f.Value/100%2 == 0 }

// playTrace plays each fault at its time, on a goroutine of its own, and waits for all of them.
func (r *run) playTrace(ctx context.Context) {
	var playing sync.WaitGroup
	for i := range r.trace.Faults {
		playing.Go(func() {
			fault := &r.trace.Faults[i]
			if !r.waitFor(ctx, time.Duration(fault.BeginMs)*time.Millisecond) {
				return
			}
			r.progress("%s, nodes %v, servers %v", fault.Kind, fault.Nodes, fault.Servers)
			if r.playFault(ctx, fault) {
				r.history.update(func(time.Duration) { r.history.played[i] = true })
			}
		})
	}
	playing.Wait()
}

// playFault plays one fault to its end. It returns false if the fault could not be played.
func (r *run) playFault(ctx context.Context, fault *Fault) bool {
	kind := string(fault.Kind)
	switch {
	case strings.HasPrefix(kind, "node_"):
		return r.playNodeFault(ctx, fault)
	case strings.HasPrefix(kind, "server_"):
		r.playServerFault(ctx, fault)
	case fault.Kind == clientsIdle:
		return r.playIdleClients(ctx, fault)
	case fault.Kind == discoveryCrowded:
		r.discovery.SetOverloaded(true)
		r.awaitEnd(ctx, fault)
		r.discovery.SetOverloaded(false)
	case strings.HasPrefix(kind, "clients_"): // runClients applies these faults from the trace
		return r.awaitEnd(ctx, fault)
	default:
		r.playLinkFault(ctx, fault)
	}
	return true
}

func (r *run) awaitEnd(ctx context.Context, fault *Fault) bool {
	return r.waitFor(ctx, time.Duration(fault.EndMs)*time.Millisecond)
}

// playNodeFault plays a fault at each of its nodes whose process has no other fault in progress. If
// all are claimed, it waits until one is released.
func (r *run) playNodeFault(ctx context.Context, fault *Fault) bool {
	var playing sync.WaitGroup
	for count := 0; count == 0; {
		for _, number := range r.targetNodes(fault) {
			n := r.nodes[number]
			if !n.claim() {
				continue
			}
			count++
			playing.Go(func() {
				defer n.release()
				n.play(ctx, fault)
			})
		}
		if count == 0 && !fake.Sleep(ctx, 20*time.Millisecond) {
			return false
		}
	}
	playing.Wait()
	return true
}

// targetNodes returns the nodes at which a node fault is played. Only nodes with an inherited
// socket support a hot restart, and only the others can stop without a successor, since an
// inherited socket stays open.
func (r *run) targetNodes(fault *Fault) (numbers []int) {
	needsSuccessor := fault.Kind == nodeHotRestart
	restarts := fault.Kind == nodeTerm || fault.Kind == nodeSignals ||
		fault.Kind == nodeKill || fault.Kind == nodeWallClock
	for _, number := range fault.Nodes {
		if n := r.nodes[number]; !needsSuccessor && !restarts || n.supportsHotRestart() == needsSuccessor {
			numbers = append(numbers, number)
		}
	}
	if len(numbers) == 0 { // fall back to the first suitable node
		for number := range r.nodes {
			if r.nodes[number].supportsHotRestart() == needsSuccessor {
				return []int{number}
			}
		}
	}
	return numbers
}

// play plays a fault at the node.
func (n *node) play(ctx context.Context, fault *Fault) {
	process := n.currentProcess()
	switch fault.Kind {
	case nodeTerm:
		n.restart(ctx, true)
	case nodeSignals:
		n.restartWithSignals(ctx)
	case nodeKill:
		n.restart(ctx, false)
	case nodeHangUp:
		n.reload(process)
	case nodeHangUps:
		for range 10 {
			n.reload(process)
			fake.Sleep(ctx, time.Duration(fault.Value%20)*time.Millisecond)
		}
	case nodeStop:
		process.Pause()
		n.run.awaitEnd(ctx, fault)
		process.Resume()
	case nodeHotRestart:
		n.hotRestart(ctx)
	case nodeDescriptors:
		if err := process.SetMaxDescriptors(uint64(process.Descriptors())); err == nil {
			n.run.awaitEnd(ctx, fault)
		}
		_ = process.SetMaxDescriptors(0)
	case nodeWallClock:
		offset := time.Hour
		if fault.Value%2 == 1 {
			offset = -offset
		}
		n.setFaults(map[string]any{"wall_offset_ms": offset.Milliseconds()})
		n.restart(ctx, true)
		n.setFaults(nil)
	case nodeSystemCalls:
		errno := systemCallErrors[fault.Value%len(systemCallErrors)]
		call := "connect"
		if fault.failsAccept() {
			call = "accept"
		}
		n.setFaults(map[string]any{call: errno})
		n.run.awaitEnd(ctx, fault)
		n.setFaults(nil)
	case nodeShortIO:
		n.setFaults(map[string]any{"short_io": true})
		n.run.awaitEnd(ctx, fault)
		n.setFaults(nil)
	}
}

// reload writes a configuration with the other discovery address and sends SIGHUP.
func (n *node) reload(process interface{ Signal(sig syscall.Signal) }) {
	n.discovery = 1 - n.discovery
	if n.writeConfig() == nil {
		process.Signal(syscall.SIGHUP)
	}
}

// setFaults sets the system-call faults of the node; nil removes them.
func (n *node) setFaults(faults map[string]any) {
	raw, _ := json.Marshal(faults) // numbers and booleans always marshal
	if faults == nil {
		raw = []byte("{}")
	}
	temporary := n.faultFile() + ".new"
	if os.WriteFile(temporary, raw, 0o600) == nil {
		_ = os.Rename(temporary, n.faultFile())
	}
}

// playLinkFault plays a fault of the links between its nodes and its servers or discovery.
func (r *run) playLinkFault(ctx context.Context, fault *Fault) {
	near, far := r.linkEnds(fault)
	size := 1 + fault.Value
	switch fault.Kind {
	case discoverySilent, linkCut:
		r.proxy.SetBetween(near, far, faultproxy.Fault{Cut: true})
	case discoverySlow:
		r.proxy.SetBetween(near, far, faultproxy.Fault{Delay: 800 * time.Millisecond})
	case linkLate:
		r.proxy.SetBetween(near, far, faultproxy.Fault{
			Delay: 100 * time.Millisecond, Jitter: 200 * time.Millisecond})
	case discoveryBreaks, linkResets:
		r.proxy.SetOneWay(far, near, faultproxy.Fault{ResetAt: size})
	case linkOneWay:
		r.proxy.SetOneWay(far, near, faultproxy.Fault{Cut: true})
	case linkPieces:
		r.proxy.SetBetween(near, far, faultproxy.Fault{ByteByByte: true})
		r.proxy.SetBetween([]string{"clients"}, near, faultproxy.Fault{ByteByByte: true})
	case discoveryRefuses:
		r.proxy.SetBetween(near, far, faultproxy.Fault{ResetAt: 1})
	case discoveryDown, discoveryStarves:
		r.playDiscoveryFault(ctx, fault)
		return
	}
	r.awaitEnd(ctx, fault)
	r.proxy.SetBetween(near, far, faultproxy.Fault{})
	if fault.Kind == linkPieces {
		r.proxy.SetBetween([]string{"clients"}, near, faultproxy.Fault{})
	}
}

// linkEnds returns the parties at both ends of a fault's links.
func (r *run) linkEnds(fault *Fault) (near, far []string) {
	for _, number := range fault.Nodes {
		near = append(near, nodeName(number))
	}
	if strings.HasPrefix(string(fault.Kind), "discovery_") {
		return near, []string{"discovery"}
	}
	for _, number := range fault.Servers {
		far = append(far, r.servers[number].name())
	}
	return near, far
}

// waitFor waits until a time of the run. It returns false if ctx ends first.
func (r *run) waitFor(ctx context.Context, at time.Duration) bool {
	timer := time.NewTimer(at - r.history.now())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
