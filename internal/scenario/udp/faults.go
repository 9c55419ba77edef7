package udp

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"coralrelay/internal/fake"
)

const (
	// faultInterval is the time from the end of one fault to the next.
	faultInterval = 1500 * time.Millisecond
	// hangDuration is how long a hung server leaves datagrams unanswered.
	hangDuration = 4 * time.Second
	// silenceDetectionTime is the time that the node may take to detect that a server is hung.
	silenceDetectionTime = 1200 * time.Millisecond
	// moveGracePeriod is the time after a fault of a server in which its flows may move to another.
	moveGracePeriod = 5 * time.Second
)

// Prefixes of the names of flows that belong to floods.
const (
	spoofedFlowPrefix      = "spoofed" // flows of one datagram from spoofed sources
	singleSourceFlowPrefix = "loud"    // flows from one source
)

// injectFaults makes randomly chosen servers drain, hang or crash and recover, one at a time, until
// ctx ends.
func (r *run) injectFaults(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Options.Seed, 11))
	for round := 0; fake.Sleep(ctx, faultInterval); round++ {
		server := r.servers[rng.IntN(len(r.servers))]
		r.recordFault(server.Name)
		switch round % 4 {
		case 1:
			r.hangServer(ctx, server)
		case 2:
			r.AddMetric("servers killed", 1)
			r.BounceServer(ctx, r.discovery, server, []string{nodeName},
				300*time.Millisecond, 500*time.Millisecond)
			r.recordFault(server.Name)
		default:
			r.AddMetric("drains", 1)
			r.discovery.Set(server.Name, fake.Leaving, time.Time{}, nil)
			fake.Sleep(ctx, 1200*time.Millisecond)
			r.recordFault(server.Name)
			r.discovery.Set(server.Name, fake.Active, time.Time{}, nil)
		}
	}
}

// hangServer makes a server leave datagrams unanswered for hangDuration, while its health checks
// succeed.
func (r *run) hangServer(ctx context.Context, server *fake.Server) {
	r.AddMetric("servers hung", 1)
	r.mu.Lock()
	r.hungSince[server.Name] = time.Now()
	r.mu.Unlock()
	server.SetDatagramsUnanswered(true)
	fake.Sleep(ctx, hangDuration)
	server.SetDatagramsUnanswered(false)
	r.mu.Lock()
	delete(r.hungSince, server.Name)
	r.mu.Unlock()
	r.recordFault(server.Name)
}

// recordFault records the time of a server's latest fault, after which its flows may move.
func (r *run) recordFault(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFaultAt[server] = time.Now()
}

// observeDatagram counts a datagram that a server received, and checks the drain rule for it. It also
// counts flows that move between servers. Floods are only counted.
func (r *run) observeDatagram(datagram fake.Datagram) {
	if strings.HasPrefix(datagram.Flow, spoofedFlowPrefix) {
		r.AddMetric("flood arrived", 1)
		return
	}
	if strings.HasPrefix(datagram.Flow, singleSourceFlowPrefix) {
		r.countSingleSourceFlow(datagram)
		return
	}
	r.CheckDrain(r.discovery, datagram.Node, datagram.Server, datagram.Flow+" "+datagram.Seq, datagram.At)
	r.AddMetric("arrived", 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countWhileHung(datagram)
	if previous := r.lastServer[datagram.Flow]; previous != "" && previous != datagram.Server {
		r.AddMetric("moved in mid-flow", 1)
		if lastFaultAt := r.lastFaultAt[previous]; lastFaultAt.IsZero() ||
			datagram.At.Sub(lastFaultAt) > moveGracePeriod {
			r.AddMetric("moved without a fault", 1)
		}
	}
	r.lastServer[datagram.Flow] = datagram.Server
}

// countSingleSourceFlow counts each flow of the single-source flood once.
func (r *run) countSingleSourceFlow(datagram fake.Datagram) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, counted := r.lastServer[datagram.Flow]; !counted {
		r.lastServer[datagram.Flow] = datagram.Server
		r.AddMetric(singleSourceForwarded, 1)
	}
}

// countWhileHung counts the datagrams that arrive while a server is hung, and those of them that
// arrive at the hung server. It leaves out the first silenceDetectionTime of each hang, in which the
// node need not have detected it. The caller must hold r.mu.
func (r *run) countWhileHung(datagram fake.Datagram) {
	for server, since := range r.hungSince {
		if datagram.At.Sub(since) < silenceDetectionTime {
			continue
		}
		r.AddMetric("while one was silent", 1)
		if datagram.Server == server {
			r.AddMetric("to the silent one", 1)
		}
	}
}
