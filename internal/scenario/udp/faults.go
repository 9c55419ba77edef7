package udp

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"coralrelay/internal/fake"
)

// faults has servers drain, fall and come back, two at a time at most.
func (r *run) injectFaults(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Options.Seed, 11))
	for round := 0; fake.Sleep(ctx, 1500*time.Millisecond); round++ {
		server := r.servers[rng.IntN(len(r.servers))]
		r.markDisturbed(server.Name)
		switch round % 4 {
		case 1:
			r.hangServer(ctx, server)
		case 2:
			r.AddMetric("servers killed", 1)
			r.BounceServer(ctx, r.discovery, server, []string{"n0"}, 300*time.Millisecond, 500*time.Millisecond)
			r.markDisturbed(server.Name)
		default:
			r.AddMetric("drains", 1)
			r.discovery.Set(server.Name, fake.Leaving, time.Time{}, nil)
			fake.Sleep(ctx, 1200*time.Millisecond)
			r.markDisturbed(server.Name)
			r.discovery.Set(server.Name, fake.Active, time.Time{}, nil)
		}
	}
}

// hang has a server answer nothing for a while, but for its probes.
func (r *run) hangServer(ctx context.Context, server *fake.Server) {
	r.AddMetric("servers hung", 1)
	r.mu.Lock()
	r.hungSince[server.Name] = time.Now()
	r.mu.Unlock()
	server.Hang(true)
	fake.Sleep(ctx, hangDuration)
	server.Hang(false)
	r.mu.Lock()
	delete(r.hungSince, server.Name)
	r.mu.Unlock()
	r.markDisturbed(server.Name)
}

// heard counts what comes while a server answers nothing, and what of it comes to that one
// although the node has had the time to notice. The lock is held.
func (r *run) countWhileHung(datagram fake.Datagram) {
	for server, since := range r.hungSince {
		if datagram.At.Sub(since) < silenceDetection {
			continue
		}
		r.AddMetric("while one was silent", 1)
		if datagram.Server == server {
			r.AddMetric("to the silent one", 1)
		}
	}
}

func (r *run) markDisturbed(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbedAt[server] = time.Now()
}

// datagram holds what a server got to the rules.
func (r *run) observeDatagram(datagram fake.Datagram) {
	if strings.HasPrefix(datagram.Flow, "spoofed") {
		r.AddMetric("flood arrived", 1)
		return
	}
	if strings.HasPrefix(datagram.Flow, "loud") {
		r.mu.Lock()
		defer r.mu.Unlock()
		if _, known := r.lastServer[datagram.Flow]; !known {
			r.lastServer[datagram.Flow] = datagram.Server
			r.AddMetric("one source's flows that went on", 1)
		}
		return
	}
	r.CheckDrain(r.discovery, datagram.Node, datagram.Server, datagram.Flow+" "+datagram.Seq, datagram.At)
	r.AddMetric("arrived", 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countWhileHung(datagram)
	if previous := r.lastServer[datagram.Flow]; previous != "" && previous != datagram.Server {
		r.AddMetric("moved in mid-flow", 1)
		if disturbedAt := r.disturbedAt[previous]; disturbedAt.IsZero() || datagram.At.Sub(disturbedAt) > 5*time.Second {
			r.AddMetric("moved without a fault", 1)
		}
	}
	r.lastServer[datagram.Flow] = datagram.Server
}

// settle reads the node's own counts and holds them to what the sockets saw.
func (r *run) checkNodeCounters(log string) error {
	if err := r.node.Terminate(); err != nil {
		return err
	}
	f, err := os.Open(log)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	counts := map[string]float64{}
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if _, text, ok := strings.Cut(lines.Text(), "udp ended"); ok {
			_ = json.Unmarshal([]byte(strings.TrimSpace(text)), &counts)
		}
	}
	if len(counts) == 0 {
		return fmt.Errorf("the node told no counts: %s", log)
	}
	for name, x := range counts {
		r.SetMetric("node: "+name, x)
	}
	drops := counts["full"] + counts["limited"] + counts["queue"] + counts["refused"] + counts["unsent"] + counts["gone"]
	if out := counts["forwarded"] + drops + counts["waiting"]; counts["in"] != out {
		r.AddViolation("counts", fmt.Sprintf("%g in, %g forwarded, dropped or waiting", counts["in"], out))
	}
	if forgotten := counts["expired"] + counts["evicted"] + counts["refused"]; forgotten < 0.95*counts["opened"] {
		r.AddViolation("reclaimed", fmt.Sprintf("%g flows were opened, %g forgotten, all being silent", counts["opened"], forgotten))
	}
	if r.Flood {
		return nil
	}
	r.SetMetric("share answered", r.Metric("answered")/max(1, r.Metric("sent")))
	r.SetMetric("share arrived", r.Metric("arrived")/max(1, r.Metric("sent")))
	if r.Metric("share arrived") < 0.9 {
		r.AddViolation("bound", fmt.Sprintf("%.3f of the datagrams arrived, 0.9 is wanted", r.Metric("share arrived")))
	}
	if all := r.Metric("while one was silent"); all > 0 {
		share := r.Metric("to the silent one") / all * float64(r.Servers) // 1 is what it would get if it were like the others
		r.SetMetric("silent server's part of its share", share)
		if share > 0.5 {
			r.AddViolation("silence", fmt.Sprintf("a server that answered nothing got %.2f of its share", share))
		}
	}
	r.RequireAtLeast("drains", 1)
	r.RequireAtLeast("node: expired", 1)
	if r.Flows >= 100_000 {
		r.RequireAtLeast("servers killed", 1)
		r.RequireAtLeast("while one was silent", 1)
	}
	return nil
}
