package fake

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"coralrelay/internal/resumetoken"
)

// Front is what a client asks where to go, as the platform's front layer would
// have it. Gone tells whether a node was killed, or is ending, since a time: a
// request that it took then may be lost.
type NodePicker interface {
	Pick(rng *rand.Rand) (node, addr string)
	Gone(node string, since time.Time) bool
}

// Diary is told what clients see.
type ClientObserver interface {
	// Broken is told that a rule broke.
	AddViolation(rule, detail string)
	// Answered is told the final answer to a first line: UP, BUSY or ERR.
	Answered(key, answer string, presented bool, took time.Duration)
	// Moved is told of a MOVE, and its token if it has one.
	Moved(key, group, token string)
	// Streaming is told that a stream has begun: whether a token was presented and
	// honoured, how long after UP, and how long after the last line before.
	Streaming(key string, presented, resumed bool, wait, gap time.Duration)
}

// Client follows one group, for as long as it runs.
type Client struct {
	Key, Group        string
	Class             string
	AnswerTimeout     time.Duration // for the final answer
	Nodes             NodePicker
	Observer          ClientObserver
	DuplicateShare    float64 // how often it presents a token at two nodes at once
	WithoutResumption bool    // does not ask for resumption

	rng *rand.Rand
	ids int

	mu       sync.Mutex
	versions map[int]uint64
	since    time.Time // when its stream began; zero while it has none
	last     time.Time // its latest line of the stream
	pos      resumetoken.Position
	placed   bool // pos is known
}

// Seed makes the client's choices repeatable.
func (c *Client) Seed(seed, number uint64) { c.rng = rand.New(rand.NewPCG(seed, number)) }

// Version is what the client has of a listing, and since when its stream stands
// without a break; zero if it does not.
func (c *Client) Versions() (versions map[int]uint64, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	copied := make(map[int]uint64, len(c.versions))
	for l, v := range c.versions {
		copied[l] = v
	}
	return copied, c.since
}

// Run follows the group until ctx ends.
func (c *Client) Run(ctx context.Context) {
	c.versions = map[int]uint64{}
	for token := ""; ctx.Err() == nil; {
		if token != "" && c.rng.Float64() < c.DuplicateShare {
			token = c.twice(ctx, token)
			continue
		}
		next, pause := c.once(ctx, token)
		token = next
		Sleep(ctx, pause)
	}
}

// twice presents a token at two nodes at once, as a client does that has retried
// too early. The one that streams first is kept; the other is closed.
func (c *Client) twice(ctx context.Context, token string) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	other := &Client{Key: c.Key, Group: c.Group, Class: c.Class, AnswerTimeout: c.AnswerTimeout, Nodes: c.Nodes, Observer: c.Observer,
		rng: rand.New(rand.NewPCG(c.rng.Uint64(), 2)), versions: map[int]uint64{}}
	c.mu.Lock()
	other.pos, other.placed, other.last = c.pos, c.placed, c.last
	for l, v := range c.versions {
		other.versions[l] = v
	}
	c.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() {
		short, stop := context.WithTimeout(ctx, 2*c.AnswerTimeout)
		defer stop()
		other.once(short, token)
	})
	next, pause := c.once(ctx, token)
	cancel()
	wg.Wait()
	Sleep(ctx, pause)
	return next
}

// once makes one connection and follows it to its end. It returns the token to
// present next, if there is one, and the pause before.
func (c *Client) once(ctx context.Context, token string) (next string, pause time.Duration) {
	node, addr := c.Nodes.Pick(c.rng)
	again := 20*time.Millisecond + time.Duration(c.rng.IntN(180))*time.Millisecond
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return token, again
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	c.ids++
	begun := time.Now()
	list := fmt.Sprintf("c=%s,d=%d,g=%s", c.Class, c.AnswerTimeout.Milliseconds(), c.Group)
	if !c.WithoutResumption {
		if list += ",rs=1"; token != "" {
			list = strings.TrimSuffix(list, "1") + token
		}
		c.mu.Lock()
		if c.placed {
			list += ",rp=" + c.pos.String() + ",again=1"
		}
		c.mu.Unlock()
	}
	fmt.Fprintf(conn, "OPEN %s.%d.%d %s %s\r\n", c.Key, begun.UnixNano(), c.ids, c.Key, list)
	_ = conn.SetReadDeadline(begun.Add(c.AnswerTimeout + time.Second))
	r := bufio.NewReaderSize(conn, 8192)
	first, err := r.ReadString('\n')
	took := time.Since(begun)
	if ctx.Err() != nil {
		return token, again
	}
	if err != nil {
		if !c.Nodes.Gone(node, begun) {
			c.Observer.AddViolation("one-answer", fmt.Sprintf("%s at %s: no answer after %v: %q, %v", c.Key, node, took, first, err))
		}
		return token, again
	}
	first = strings.TrimRight(first, "\r\n")
	if took > c.AnswerTimeout+50*time.Millisecond {
		c.Observer.AddViolation("one-answer", fmt.Sprintf("%s at %s: %q came after %v", c.Key, node, first, took))
	}
	word, rest, _ := strings.Cut(first, " ")
	c.Observer.Answered(c.Key, word, token != "", took)
	if word != "UP" {
		if extra, err := r.ReadString('\n'); err == nil {
			c.Observer.AddViolation("one-answer", fmt.Sprintf("%s at %s: %q after %q", c.Key, node, extra, first))
		}
		if ms, err := strconv.Atoi(rest); err == nil && word == "BUSY" {
			again += time.Duration(ms) * time.Millisecond
		}
		return token, again // unspent, as far as this answer tells
	}
	next = c.follow(ctx, node, conn, r, token != "", strings.HasSuffix(first, " rs=1"))
	c.mu.Lock()
	c.since = time.Time{}
	c.mu.Unlock()
	return next, again
}

var errBroken = errors.New("rule broken")

// follow reads a standing connection to its end and returns the token that a MOVE
// brought.
func (c *Client) follow(ctx context.Context, node string, conn net.Conn, r *bufio.Reader, presented, streams bool) (token string) {
	if streams {
		// The stream has to begin soon; silence is what may never be.
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	}
	hi, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() {
		for n := 0; Sleep(hi, 2*time.Second); n++ {
			_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
			fmt.Fprintf(conn, "HI %d\r\n", n)
		}
	})
	left, began, up := 0, false, time.Now()
	for {
		text, err := r.ReadString('\n')
		if err != nil {
			if streams && !began && ctx.Err() == nil && errorIsTimeout(err) && !c.Nodes.Gone(node, time.Now().Add(-3*time.Second)) {
				c.Observer.AddViolation("silence", fmt.Sprintf("%s at %s: UP, and then no stream", c.Key, node))
			}
			return ""
		}
		_ = conn.SetReadDeadline(time.Now().Add(8 * time.Second))
		text = strings.TrimRight(text, "\r\n")
		word, rest, _ := strings.Cut(text, " ")
		switch word {
		case "MOVE":
			if !c.WithoutResumption {
				c.Observer.Moved(c.Key, c.Group, rest)
			} else if rest != "" {
				c.Observer.AddViolation("unasked", fmt.Sprintf("%s: %q to a client that did not ask", c.Key, text))
			}
			return rest
		case "RESUMED", "SNAPSHOT", "ITEM", "UPD":
			if err := c.take(word, rest, &left, &began, presented, up); err != nil {
				c.Observer.AddViolation("stream", fmt.Sprintf("%s at %s: %q: %v", c.Key, node, text, err))
				return ""
			}
		case "HEY", "BYE", "LOAD", "POS":
		default:
			c.Observer.AddViolation("stream", fmt.Sprintf("%s at %s: %q", c.Key, node, text))
		}
	}
}

func errorIsTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// take takes one line of the stream.
func (c *Client) take(word, rest string, left *int, began *bool, presented bool, up time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	words := strings.Fields(rest)
	begin := func(resumed bool) {
		gap := time.Duration(0)
		if !c.last.IsZero() {
			gap = now.Sub(c.last)
		}
		*began, c.since, c.last = true, now, now
		c.Observer.Streaming(c.Key, presented, resumed, now.Sub(up), gap)
	}
	switch {
	case word == "RESUMED" && len(words) == 1 && !*began:
		pos, err := resumetoken.ParsePosition(words[0])
		switch {
		case err != nil:
			return err
		case !presented:
			return errors.New("resumed without a token")
		case pos != c.pos:
			return fmt.Errorf("resumed at %v, the client is at %v", pos, c.pos)
		}
		begin(true)
	case word == "SNAPSHOT" && len(words) == 2 && !*began:
		pos, err := resumetoken.ParsePosition(words[0])
		if err != nil {
			return err
		}
		n, err := strconv.Atoi(words[1])
		if err != nil {
			return err
		}
		*left, c.pos, c.placed = n, pos, false
		if n == 0 {
			c.placed = true
		}
		begin(false)
	case (word == "ITEM" || word == "UPD") && len(words) >= 3 && *began:
		if word == "ITEM" {
			words = append([]string{"0"}, words...)
			if *left--; *left == 0 {
				c.placed = true
			}
		}
		offset, err := strconv.ParseUint(words[0], 10, 64)
		listing, err2 := strconv.Atoi(words[1])
		version, err3 := strconv.ParseUint(words[2], 10, 64)
		if err := errors.Join(err, err2, err3); err != nil {
			return err
		}
		if word == "UPD" {
			if *left > 0 || offset != c.pos.Offset+1 {
				return fmt.Errorf("offset %d follows %d, %d items open", offset, c.pos.Offset, *left)
			}
			c.pos.Offset, c.last = offset, now
		}
		if version < c.versions[listing] {
			return fmt.Errorf("listing %d goes back from version %d", listing, c.versions[listing])
		}
		c.versions[listing] = version
	default:
		return errBroken
	}
	return nil
}
