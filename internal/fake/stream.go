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

// stream is one connection.
type stream struct {
	s          *Server
	node       string
	conn       net.Conn
	key, group string // set, under the server's lock, when its first line was taken

	mu   sync.Mutex // one write at a time
	sent uint64     // changes of the feed sent so far
}

func (c *stream) say(format string, args ...any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.write(fmt.Sprintf(format, args...) + "\r\n")
}

// write is called under the lock.
func (c *stream) write(text string) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := c.conn.Write([]byte(text))
	return err
}

func (c *stream) reset() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.conn.Close()
}

func (c *stream) sendAway() {
	_ = c.say("MOVE")
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

func (c *stream) serve(ctx context.Context) {
	lines := bufio.NewScanner(c.conn)
	lines.Buffer(make([]byte, 4096), 4096)
	for lines.Scan() {
		word, rest, _ := strings.Cut(lines.Text(), " ")
		var err error
		if word == "STATS" {
			c.s.draws.Add(1)
		}
		if FaultMode(c.s.spoilt.Load()) == Unresponsive {
			// It came all the same: who sends to a silent server is to be seen.
			if key, ok := opens(word, rest); ok {
				c.s.Observer.Opened(Opened{c.s.Name, c.node, key, time.Now()})
			}
			continue
		}
		switch word {
		case "PING":
			err = c.say("PONG")
		case "STATS":
			err = c.say("%s", c.s.stats())
		case "OPEN":
			err = c.open(rest)
		case "START":
			if err = c.start(ctx, rest); err == nil {
				c.s.wg.Go(func() { c.feed(ctx) })
			}
		case "HI":
			err = c.say("HEY %s", rest)
		default:
			err = c.say("SYNTAX")
		}
		if err != nil {
			return
		}
	}
}

// opens returns the key of a first line that is well formed.
func opens(word, rest string) (key string, ok bool) {
	words := strings.Split(rest, " ")
	if word != "OPEN" || len(words) != 3 {
		return "", false
	}
	return words[1], true
}

var errRefused = errors.New("refused")

func (c *stream) open(rest string) error {
	key, ok := opens("OPEN", rest)
	if !ok {
		return c.say("SYNTAX")
	}
	words := strings.Split(rest, " ")
	c.s.Observer.Opened(Opened{c.s.Name, c.node, key, time.Now()})
	group, up := "", "UP r-"+words[0]
	for pair := range strings.SplitSeq(words[2], ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "g":
			group = value
		case "rs":
			if value != "1" {
				return c.say("SYNTAX") // a token must not get here
			}
			up += " rs=1"
		}
	}
	spoilt := FaultMode(c.s.spoilt.Load())
	if spoilt == AnswersErrors {
		_ = c.say("ERR")
		return errRefused
	}
	if spoilt == AnswersBusy || !c.s.take(c, key, group) {
		_ = c.say("BUSY")
		return errRefused
	}
	return c.say("%s", up)
}
