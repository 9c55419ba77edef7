package standin

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// groups is how many groups the clients belong to, one after the other.
const groups = 400

// Clients opens connections at a rate, each of which stays for a while and writes a line every 2 s.
type Clients struct {
	Addr string        // where the front sends them
	Rate float64       // new connections a second
	Life time.Duration // of a connection

	c      *Case
	number atomic.Int64
	wg     sync.WaitGroup
}

// NewClients returns clients that Run starts.
func NewClients(c *Case, addr string, rate float64, life time.Duration) *Clients {
	return &Clients{Addr: addr, Rate: rate, Life: life, c: c}
}

// Run opens connections until ctx ends, and then waits for the clients.
func (cs *Clients) Run(ctx context.Context) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / cs.Rate))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			cs.wg.Wait()
			return
		case <-ticker.C:
			cs.wg.Go(func() { cs.connect(ctx, int(cs.number.Add(1))) })
		}
	}
}

// connect opens one connection and follows it to its end.
func (cs *Clients) connect(ctx context.Context, number int) {
	conn, err := net.DialTimeout("tcp", cs.Addr, time.Second)
	if err != nil {
		cs.c.Log("client", "%d: %v", number, err)
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	line := fmt.Sprintf("OPEN %016x k%x %s,g=group%d", number, number, cs.c.Site.Request, number%groups)
	_, _ = fmt.Fprintf(conn, "%s\r\n", line)
	reader := bufio.NewReader(conn)
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	answer, err := reader.ReadString('\n')
	cs.c.Log("client", "%d: answered %q, %v", number, strings.TrimSpace(answer), err)
	for begun := time.Now(); strings.HasPrefix(answer, "UP ") && time.Since(begun) < cs.Life; {
		if _, err := fmt.Fprintf(conn, "hello %d\r\n", number); err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		if text, err := reader.ReadString('\n'); err != nil || strings.HasPrefix(text, "MOVE") {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(2 * time.Second):
		}
	}
}
