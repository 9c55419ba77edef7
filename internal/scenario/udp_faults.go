package scenario

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
func (s *udpScene) faults(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.UDPOptions.Seed, 11))
	for n := 0; fake.Sleep(ctx, 1500*time.Millisecond); n++ {
		v := s.servers[rng.IntN(len(s.servers))]
		s.mark(v.Name)
		switch n % 4 {
		case 1:
			s.hang(ctx, v)
		case 2:
			s.AddMetric("servers killed", 1)
			s.BounceServer(ctx, s.roster, v, []string{"n0"}, 300*time.Millisecond, 500*time.Millisecond)
			s.mark(v.Name)
		default:
			s.AddMetric("drains", 1)
			s.roster.Set(v.Name, fake.Leaving, time.Time{}, nil)
			fake.Sleep(ctx, 1200*time.Millisecond)
			s.mark(v.Name)
			s.roster.Set(v.Name, fake.Active, time.Time{}, nil)
		}
	}
}

// hang has a server answer nothing for a while, but for its probes.
func (s *udpScene) hang(ctx context.Context, v *fake.Server) {
	s.AddMetric("servers hung", 1)
	s.mu.Lock()
	s.hung[v.Name] = time.Now()
	s.mu.Unlock()
	v.SetDatagramsUnanswered(true)
	fake.Sleep(ctx, hangs)
	v.SetDatagramsUnanswered(false)
	s.mu.Lock()
	delete(s.hung, v.Name)
	s.mu.Unlock()
	s.mark(v.Name)
}

// heard counts what comes while a server answers nothing, and what of it comes to that one
// although the node has had the time to notice. The lock is held.
func (s *udpScene) heard(d fake.Datagram) {
	for server, since := range s.hung {
		if d.At.Sub(since) < noticing {
			continue
		}
		s.AddMetric("while one was silent", 1)
		if d.Server == server {
			s.AddMetric("to the silent one", 1)
		}
	}
}

func (s *udpScene) mark(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ill[server] = time.Now()
}

// datagram holds what a server got to the rules.
func (s *udpScene) datagram(d fake.Datagram) {
	if strings.HasPrefix(d.Flow, "spoofed") {
		s.AddMetric("flood arrived", 1)
		return
	}
	if strings.HasPrefix(d.Flow, "loud") {
		s.mu.Lock()
		defer s.mu.Unlock()
		if _, known := s.at[d.Flow]; !known {
			s.at[d.Flow] = d.Server
			s.AddMetric("one source's flows that went on", 1)
		}
		return
	}
	s.CheckDrain(s.roster, d.Node, d.Server, d.Flow+" "+d.Seq, d.At)
	s.AddMetric("arrived", 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard(d)
	if was := s.at[d.Flow]; was != "" && was != d.Server {
		s.AddMetric("moved in mid-flow", 1)
		if ill := s.ill[was]; ill.IsZero() || d.At.Sub(ill) > 5*time.Second {
			s.AddMetric("moved without a fault", 1)
		}
	}
	s.at[d.Flow] = d.Server
}

// settle reads the node's own counts and holds them to what the sockets saw.
func (s *udpScene) settle(log string) error {
	if err := s.node.Terminate(); err != nil {
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
		s.SetMetric("node: "+name, x)
	}
	drops := counts["full"] + counts["limited"] + counts["queue"] + counts["refused"] + counts["unsent"] + counts["gone"]
	if out := counts["forwarded"] + drops + counts["waiting"]; counts["in"] != out {
		s.AddViolation("counts", fmt.Sprintf("%g in, %g forwarded, dropped or waiting", counts["in"], out))
	}
	if forgotten := counts["expired"] + counts["evicted"] + counts["refused"]; forgotten < 0.95*counts["opened"] {
		s.AddViolation("reclaimed", fmt.Sprintf("%g flows were opened, %g forgotten, all being silent", counts["opened"], forgotten))
	}
	if s.Flood {
		return nil
	}
	s.SetMetric("share answered", s.Metric("answered")/max(1, s.Metric("sent")))
	s.SetMetric("share arrived", s.Metric("arrived")/max(1, s.Metric("sent")))
	if s.Metric("share arrived") < 0.9 {
		s.AddViolation("bound", fmt.Sprintf("%.3f of the datagrams arrived, 0.9 is wanted", s.Metric("share arrived")))
	}
	if all := s.Metric("while one was silent"); all > 0 {
		share := s.Metric("to the silent one") / all * float64(s.Servers) // 1 is what it would get if it were like the others
		s.SetMetric("silent server's part of its share", share)
		if share > 0.5 {
			s.AddViolation("silence", fmt.Sprintf("a server that answered nothing got %.2f of its share", share))
		}
	}
	s.RequireAtLeast("drains", 1)
	s.RequireAtLeast("node: expired", 1)
	if s.Flows >= 100_000 {
		s.RequireAtLeast("servers killed", 1)
		s.RequireAtLeast("while one was silent", 1)
	}
	return nil
}
