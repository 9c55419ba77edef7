package fake

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

const (
	dialTimeout   = time.Second
	answerSlack   = 50 * time.Millisecond // an answer this much after the timeout still counts
	readSlack     = time.Second           // how much longer an answer is waited for, to see how late it is
	lineSizeLimit = 8192                  // in bytes
)

// Names of the rules that a client checks.
const (
	ruleOneAnswer = "one-answer"
	ruleSilence   = "silence"
	ruleStream    = "stream"
	ruleUnasked   = "unasked"
)

// connection is one connection of a client.
type connection struct {
	*Client
	net.Conn
	node      string
	token     string // presented; empty for none
	openedAt  time.Time
	reader    *bufio.Reader
	requestID string
}

// connect makes one connection and follows it to its end. It returns the token to present next, if
// there is one, and the backoff before.
func (c *Client) connect(ctx context.Context, token string) (next string, backoff time.Duration) {
	node, addr := c.Nodes.Pick(c.rng)
	backoff = 20*time.Millisecond + time.Duration(c.rng.IntN(180))*time.Millisecond
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return token, backoff
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	c.connections++
	now := time.Now()
	cc := &connection{
		Client: c, Conn: conn, node: node, token: token, openedAt: now,
		reader:    bufio.NewReaderSize(conn, lineSizeLimit),
		requestID: fmt.Sprintf("%s.%d.%d", c.Key, now.UnixNano(), c.connections),
	}
	answer, ok := cc.open(ctx)
	if !ok {
		return token, backoff
	}
	word, rest, _ := strings.Cut(answer, " ")
	if word != "UP" {
		cc.expectEnd(answer)
		if ms, err := strconv.Atoi(rest); err == nil && word == "BUSY" {
			backoff += time.Duration(ms) * time.Millisecond
		}
		return token, backoff // as far as this answer tells, the token is not used up
	}
	next = cc.follow(ctx, strings.HasSuffix(answer, " rs=1"))
	c.mu.Lock()
	c.streamingSince = time.Time{}
	c.mu.Unlock()
	return next, backoff
}

// open sends the first line and returns its final answer; false if there was none.
func (c *connection) open(ctx context.Context) (answer string, ok bool) {
	// A failed write shows as the answer that does not come.
	_, _ = fmt.Fprintf(c.Conn, "OPEN %s %s %s\r\n", c.requestID, c.Key, c.parameters())
	_ = c.SetReadDeadline(c.openedAt.Add(c.AnswerTimeout + readSlack))
	answer, err := c.reader.ReadString('\n')
	took := time.Since(c.openedAt)
	if ctx.Err() != nil {
		return "", false
	}
	if err != nil {
		if !c.Nodes.StoppedSince(c.node, c.openedAt) {
			c.violation(ruleOneAnswer, "no answer after %v: %q, %v", took, answer, err)
		}
		return "", false
	}
	answer = strings.TrimRight(answer, "\r\n")
	if took > c.AnswerTimeout+answerSlack {
		c.violation(ruleOneAnswer, "%q came after %v", answer, took)
	}
	word, _, _ := strings.Cut(answer, " ")
	c.Observer.Answered(c.Key, word, c.token != "", took)
	return answer, true
}

// parameters returns the parameters of the first line.
func (c *connection) parameters() string {
	text := fmt.Sprintf("c=%s,d=%d,g=%s", c.Class, c.AnswerTimeout.Milliseconds(), c.Group)
	if c.WithoutResumption {
		return text
	}
	if c.token == "" {
		text += ",rs=1"
	} else {
		text += ",rs=" + c.token
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasPosition {
		text += ",rp=" + c.position.String() + ",again=1"
	}
	return text
}

// expectEnd checks that nothing follows a final answer other than UP.
func (c *connection) expectEnd(answer string) {
	if extra, err := c.reader.ReadString('\n'); err == nil {
		c.violation(ruleOneAnswer, "%q after %q", extra, answer)
	}
}

// violation reports a broken rule with the client's key and the node.
func (c *connection) violation(rule, format string, args ...any) {
	c.Observer.AddViolation(rule, fmt.Sprintf("%s at %s: ", c.Key, c.node)+fmt.Sprintf(format, args...))
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
