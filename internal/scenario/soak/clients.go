package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"coralrelay/internal/fake"
)

const (
	// answerGrace is how much later than a client waits an answer still is one.
	answerGrace = 500 * time.Millisecond
	// halfLineTimeout is when a client that stops in the middle of a line has its error or close.
	halfLineTimeout = 3 * time.Second
	// lineTimeout is how long a line of an open connection may stay unanswered until the connection ends.
	lineTimeout = 7 * time.Second
	// maxClients bounds the clients at once.
	maxClients = 1500
)

var classes = []string{"feed", "feed", "order", "pay"}

// runClients has clients come to the nodes until ctx ends, and waits for them.
func (r *run) runClients(ctx context.Context) {
	var clients sync.WaitGroup
	defer clients.Wait()
	slots := make(chan struct{}, maxClients)
	rng := rand.New(rand.NewPCG(r.Options.Seed, 22))
	for count := 0; ; count++ {
		pause := time.Duration(rng.ExpFloat64() / (requestsPerNode * float64(r.Nodes)) * float64(time.Second))
		if !fake.Sleep(ctx, pause) {
			return
		}
		number := rng.IntN(r.Nodes)
		record := &request{
			ID:       fmt.Sprintf("%s-%d", nodeName(number), count),
			Node:     number,
			Class:    classes[rng.IntN(len(classes))],
			Patience: r.deadline(),
		}
		record.Behaviour = r.behaviourAt(number, rng)
		if record.Behaviour == clientsShort {
			record.Patience = time.Duration(1+rng.IntN(30)) * time.Millisecond
		}
		seed := rng.Uint64()
		if !r.nodes[number].takesClients(r.history.now()) {
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			continue
		}
		clients.Go(func() {
			defer func() { <-slots }()
			c := &client{run: r, record: record, rng: rand.New(rand.NewPCG(seed, 1))}
			c.play(ctx)
		})
	}
}

// behaviourAt is how the next client at a node behaves: a fault of clients makes half of them so.
func (r *run) behaviourAt(node int, rng *rand.Rand) Kind {
	now := r.history.now()
	for i := range r.trace.Faults {
		fault := &r.trace.Faults[i]
		if strings.HasPrefix(string(fault.Kind), "clients_") && fault.Kind != clientsIdle && fault.overlaps(now, now, 0) && rng.Float64() < 0.5 {
			for _, number := range fault.Nodes {
				if number == node {
					return fault.Kind
				}
			}
		}
	}
	return ""
}

// client is one client's connection.
type client struct {
	run    *run
	record *request
	rng    *rand.Rand
	conn   net.Conn
	reader *bufio.Reader
}

// play connects, sends the first line and behaves as the record says.
func (c *client) play(ctx context.Context) {
	conn, err := net.DialTimeout("tcp", c.run.nodes[c.record.Node].clientAddr, time.Second)
	if err != nil {
		return
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	stop := context.AfterFunc(ctx, func() { c.leave() })
	defer stop()
	defer func() { _ = conn.Close() }()
	c.run.history.update(func(now time.Duration) {
		c.record.ConnectedAt = now
		c.run.history.requests = append(c.run.history.requests, c.record)
	})
	if !c.sendFirstLine() {
		return
	}
	c.run.history.update(func(now time.Duration) { c.record.WrittenAt = now })
	switch c.record.Behaviour {
	case clientsPipeline:
		_, _ = fmt.Fprint(conn, "early one\r\nearly two\r\n")
	case clientsLeave:
		time.Sleep(time.Duration(c.rng.IntN(60)) * time.Millisecond)
		c.leave()
		return
	}
	if c.awaitAnswer() {
		c.talk(ctx)
	}
}

// sendFirstLine sends the first line. It returns false if it is not sent whole, and all that was to be
// seen is written down.
func (c *client) sendFirstLine() bool {
	line := fmt.Sprintf("OPEN %s k%d c=%s,d=%d\r\n", c.record.ID, c.rng.IntN(1000), c.record.Class, c.record.Patience.Milliseconds())
	switch c.record.Behaviour {
	case clientsHalfLine:
		_, _ = fmt.Fprint(c.conn, line[:1+c.rng.IntN(len(line)-2)])
		c.awaitEnd(halfLineTimeout + answerGrace)
		return false
	case clientsFlood:
		_ = c.conn.SetDeadline(time.Now().Add(halfLineTimeout + answerGrace))
		_, _ = fmt.Fprint(c.conn, strings.Repeat("x", 1+c.rng.IntN(60_000)))
		c.awaitEnd(halfLineTimeout + answerGrace)
		return false
	case clientsRest: // some until the node ends them, some until just then
		_ = c.conn.SetReadDeadline(time.Now().Add(1900*time.Millisecond + time.Duration(c.rng.IntN(200))*time.Millisecond))
		if _, err := c.reader.Peek(1); err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			c.awaitEnd(halfLineTimeout)
			return false
		}
	}
	_, err := fmt.Fprint(c.conn, line)
	return err == nil
}

// leave closes the connection by the client's own wish.
func (c *client) leave() {
	c.run.history.update(func(now time.Duration) {
		if c.record.LeftAt == 0 && c.record.End == "" {
			c.record.LeftAt = now
		}
	})
	_ = c.conn.Close()
}

// awaitEnd reads until the connection ends, for a time, and writes the end down.
func (c *client) awaitEnd(timeout time.Duration) {
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout))
	answer, err := c.reader.ReadString('\n')
	if answer != "" {
		c.run.history.update(func(now time.Duration) {
			c.record.Answer, c.record.AnsweredAt = strings.TrimSpace(answer), now
		})
	}
	if err == nil {
		_, err = io.Copy(io.Discard, c.reader)
	}
	c.ended(err)
}

// awaitAnswer reads the final answer, and reports whether the connection is served.
func (c *client) awaitAnswer() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(c.record.Patience + 3*time.Second))
	line, err := c.reader.ReadString('\n')
	if err != nil {
		c.ended(err)
		return false
	}
	c.run.history.update(func(now time.Duration) { c.record.Answer, c.record.AnsweredAt = strings.TrimSpace(line), now })
	if strings.HasPrefix(line, "UP ") {
		return true
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	if second, err := c.reader.ReadString('\n'); err == nil {
		c.run.history.update(func(time.Duration) { c.record.SecondAnswer = strings.TrimSpace(second) })
	} else {
		c.ended(err)
	}
	return false
}
