package fake

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	serverWriteTimeout = 2 * time.Second
	serverLineLimit    = 4096 // in bytes
)

var errRefused = errors.New("refused")

// stream is the server side of one connection.
type stream struct {
	server     *Server
	node       string
	conn       net.Conn
	key, group string // guarded by the server's lock; set when the connection is established

	mu   sync.Mutex // serializes writes
	sent uint64     // number in the feed of the last change sent
}

// send writes one line.
func (c *stream) send(format string, args ...any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.write(fmt.Sprintf(format, args...) + "\r\n")
}

// write writes text. The caller holds the lock.
func (c *stream) write(text string) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(serverWriteTimeout))
	_, err := c.conn.Write([]byte(text))
	return err
}

// reset closes the connection with a TCP reset.
func (c *stream) reset() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.conn.Close()
}

// sendMove sends MOVE as the last line.
func (c *stream) sendMove() {
	_ = c.send("MOVE")
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// serve handles lines until the connection ends.
func (c *stream) serve(ctx context.Context) {
	lines := bufio.NewScanner(c.conn)
	lines.Buffer(make([]byte, serverLineLimit), serverLineLimit)
	for lines.Scan() {
		word, rest, _ := strings.Cut(lines.Text(), " ")
		if word == "STATS" {
			c.server.probes.Add(1)
		}
		if c.server.faultMode() == Unresponsive {
			// The observer must see first lines sent to an unresponsive server, too.
			if request, ok := parseOpen(rest); ok && word == "OPEN" {
				c.observeOpened(request)
			}
			continue
		}
		if c.handleLine(ctx, word, rest) != nil {
			return
		}
	}
}

// handleLine answers one line. An error ends the connection.
func (c *stream) handleLine(ctx context.Context, word, rest string) error {
	switch word {
	case "PING":
		return c.send("PONG")
	case "STATS":
		return c.send("%s", c.server.loadReport())
	case "OPEN":
		return c.handleOpen(rest)
	case "START":
		if err := c.handleStart(ctx, rest); err != nil {
			return err
		}
		c.server.wg.Go(func() { c.sendUpdates(ctx) })
		return nil
	case "HI":
		return c.send("HEY %s", rest)
	}
	return c.send("SYNTAX")
}

// openRequest is a parsed first line.
type openRequest struct {
	id, key, parameters string
}

// parseOpen parses the arguments of OPEN. It returns false if they are malformed.
func parseOpen(rest string) (request openRequest, ok bool) {
	words := strings.Split(rest, " ")
	if len(words) != 3 {
		return openRequest{}, false
	}
	return openRequest{words[0], words[1], words[2]}, true
}

// observeOpened reports a first line to the observer of the server.
func (c *stream) observeOpened(request openRequest) {
	c.server.Observer.Opened(Opened{c.server.Name, c.node, request.key, time.Now()})
}

// handleOpen answers a first line.
func (c *stream) handleOpen(rest string) error {
	request, ok := parseOpen(rest)
	if !ok {
		return c.send("SYNTAX")
	}
	c.observeOpened(request)
	group, answer := "", "UP r-"+request.id
	for pair := range strings.SplitSeq(request.parameters, ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "g":
			group = value
		case "rs":
			if value != "1" {
				return c.send("SYNTAX") // a node must not forward a token to a server
			}
			answer += " rs=1"
		}
	}
	fault := c.server.faultMode()
	if fault == AnswersErrors {
		_ = c.send("ERR")
		return errRefused
	}
	if fault == AnswersBusy || !c.server.admit(c, request.key, group) {
		_ = c.send("BUSY")
		return errRefused
	}
	return c.send("%s", answer)
}
