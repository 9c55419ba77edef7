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
	// answerGrace is how late an answer may arrive after the client's patience has ended.
	answerGrace = 500 * time.Millisecond
	// firstLineTimeout is the time within which a client with an incomplete first line gets an
	// error or a close.
	firstLineTimeout = 3 * time.Second
	// lineTimeout is how long a line on an open connection may stay unanswered until the connection
	// ends.
	lineTimeout = 7 * time.Second
	// maxClients limits the number of concurrent clients.
	maxClients = 1500
)

var classes = []string{"feed", "feed", "order", "pay"}

// runClients starts clients of the nodes until ctx ends, and waits for them.
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
		if !r.nodes[number].acceptsClients(r.history.now()) {
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

// behaviourAt returns the behaviour of the next client at a node. An active client fault applies to
// half of the clients.
func (r *run) behaviourAt(node int, rng *rand.Rand) Kind {
	now := r.history.now()
	for i := range r.trace.Faults {
		fault := &r.trace.Faults[i]
		if strings.HasPrefix(string(fault.Kind), "clients_") && fault.Kind != clientsIdle &&
			fault.overlaps(now, now, 0) && rng.Float64() < 0.5 {
			for _, number := range fault.Nodes {
				if number == node {
					return fault.Kind
				}
			}
		}
	}
	return ""
}

// client is the connection of one client.
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
		c.exchangeLines(ctx)
	}
}

// sendFirstLine sends the first line. It returns false if the line was not sent completely; the end
// is then already recorded, unless the write failed.
func (c *client) sendFirstLine() bool {
	line := fmt.Sprintf("OPEN %s k%d c=%s,d=%d\r\n",
		c.record.ID, c.rng.IntN(1000), c.record.Class, c.record.Patience.Milliseconds())
	switch c.record.Behaviour {
	case clientsHalfLine:
		_, _ = fmt.Fprint(c.conn, line[:1+c.rng.IntN(len(line)-2)])
		c.awaitEnd(firstLineTimeout + answerGrace)
		return false
	case clientsFlood:
		_ = c.conn.SetDeadline(time.Now().Add(firstLineTimeout + answerGrace))
		_, _ = fmt.Fprint(c.conn, strings.Repeat("x", 1+c.rng.IntN(60_000)))
		c.awaitEnd(firstLineTimeout + answerGrace)
		return false
	case clientsRest: // random time around the node's limit, so that some first lines cross its close
		_ = c.conn.SetReadDeadline(time.Now().Add(1900*time.Millisecond +
			time.Duration(c.rng.IntN(200))*time.Millisecond))
		if _, err := c.reader.Peek(1); err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			c.awaitEnd(firstLineTimeout)
			return false
		}
	}
	_, err := fmt.Fprint(c.conn, line)
	return err == nil
}

// leave closes the connection on the client's side.
func (c *client) leave() {
	c.run.history.update(func(now time.Duration) {
		if c.record.LeftAt == 0 && c.record.End == "" {
			c.record.LeftAt = now
		}
	})
	_ = c.conn.Close()
}

// awaitEnd reads until the connection ends or timeout expires, and records the end.
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
	c.recordEnd(err)
}

// awaitAnswer reads the final answer and reports whether the connection is served.
func (c *client) awaitAnswer() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(c.record.Patience + 3*time.Second))
	line, err := c.reader.ReadString('\n')
	if err != nil {
		c.recordEnd(err)
		return false
	}
	c.run.history.update(func(now time.Duration) {
		c.record.Answer, c.record.AnsweredAt = strings.TrimSpace(line), now
	})
	if strings.HasPrefix(line, "UP ") {
		return true
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	if second, err := c.reader.ReadString('\n'); err == nil {
		c.run.history.update(func(time.Duration) { c.record.SecondAnswer = strings.TrimSpace(second) })
	} else {
		c.recordEnd(err)
	}
	return false
}
