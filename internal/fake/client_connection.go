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
	dialTimeout      = time.Second
	answerTolerance  = 50 * time.Millisecond // an answer this late after the timeout still counts as in time
	lateAnswerWindow = time.Second           // read time after the timeout, to measure late answers
	lineSizeLimit    = 8192                  // in bytes
)

// Names of the rules that a client checks.
const (
	ruleOneAnswer   = "one-answer"
	ruleSilence     = "silence"
	ruleStream      = "stream"
	ruleUnrequested = "unasked"
)

// connection is one connection of a client.
type connection struct {
	*Client
	net.Conn
	node      string
	token     string // token to present; empty means none
	openedAt  time.Time
	reader    *bufio.Reader
	requestID string
}

// connect opens one connection and follows it to its end. It returns the token to present on the next
// connection, which is empty if there is none, and the backoff before that connection.
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
		return token, backoff // the token was not used up as far as the client can tell from this answer
	}
	next = cc.follow(ctx, strings.HasSuffix(answer, " rs=1"))
	c.mu.Lock()
	c.streamingSince = time.Time{}
	c.mu.Unlock()
	return next, backoff
}

// open sends the first line and returns its final answer. It returns false if there was none.
func (c *connection) open(ctx context.Context) (answer string, ok bool) {
	// A failed write shows as a missing answer.
	_, _ = fmt.Fprintf(c.Conn, "OPEN %s %s %s\r\n", c.requestID, c.Key, c.parameters())
	_ = c.SetReadDeadline(c.openedAt.Add(c.AnswerTimeout + lateAnswerWindow))
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
	if took > c.AnswerTimeout+answerTolerance {
		c.violation(ruleOneAnswer, "%q came after %v", answer, took)
	}
	word, _, _ := strings.Cut(answer, " ")
	c.Observer.Answered(c.Key, word, c.token != "", took)
	return answer, true
}

// parameters returns the parameters of the first line, with the client's token and position.
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

// expectEnd checks that no line follows a final answer other than UP.
func (c *connection) expectEnd(answer string) {
	if extra, err := c.reader.ReadString('\n'); err == nil {
		c.violation(ruleOneAnswer, "%q after %q", extra, answer)
	}
}

// violation reports a violation of a rule, with the client's key and the name of the node.
func (c *connection) violation(rule, format string, args ...any) {
	c.Observer.AddViolation(rule, fmt.Sprintf("%s at %s: ", c.Key, c.node)+fmt.Sprintf(format, args...))
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
