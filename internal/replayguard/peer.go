package replayguard

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"coralrelay/internal/logging"
	"coralrelay/internal/resumetoken"
)

const (
	// helloEvery is how often a peer is asked how it is.
	helloEvery = 500 * time.Millisecond
	// lately is how long its answer counts.
	lately = 1500 * time.Millisecond
	// again is the pause before a peer that is gone is called again.
	again = 250 * time.Millisecond
	// asking is how many questions may be out to one peer.
	asking = 1024
)

// Peer is another node's ledger.
type Peer struct {
	Name, Addr string
	ring       func() *resumetoken.KeyRing
	bad        logging.Throttled

	mu     sync.Mutex
	link   *link // nil while there is no connection
	member resumetoken.Candidate
	seen   time.Time // when it last said how it is
}

// link is one connection to a peer. Its fields are under the peer's lock.
type link struct {
	conn      net.Conn
	challenge string
	out       chan string
	next      uint64
	waiting   map[uint64]*question
}

type question struct {
	key  *resumetoken.Key
	tell chan<- resumetoken.Verdict // has room for one; closed if the link ends; nil for a hello
}

// Member tells how the peer is.
func (p *Peer) Candidate(now time.Time) resumetoken.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.member
	m.IsReady = m.IsReady && p.link != nil && now.Sub(p.seen) < lately
	return m
}

// Run keeps a connection to the peer until ctx ends.
func (p *Peer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := p.connect(ctx); ctx.Err() == nil {
			p.bad.Warn("ledger: peer", "peer", p.Name, "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(again):
		}
	}
}

func (p *Peer) connect(ctx context.Context) error {
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.DialContext(ctx, "tcp", p.Addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	l := &link{conn: conn, challenge: draw(), out: make(chan string, asking), waiting: map[uint64]*question{}}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	defer cancel()
	p.mu.Lock()
	p.link = l
	p.mu.Unlock()
	defer p.unlink(l)
	wg.Go(func() { write(ctx, conn, l.out) })
	wg.Go(func() {
		tick := time.NewTicker(helloEvery)
		defer tick.Stop()
		for {
			if !p.ask(l, nil, hello) {
				_ = conn.Close() // it answers nothing
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
	})
	r := bufio.NewReaderSize(conn, longest)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(2 * lately))
		words, err := readWords(r, 0)
		if err != nil {
			return err
		}
		if err := p.heard(l, words); err != nil {
			return err
		}
	}
}

// unlink ends a link: whoever waits for an answer learns that none comes.
func (p *Peer) unlink(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = nil
	for _, q := range l.waiting {
		if q.tell != nil {
			close(q.tell)
		}
	}
	l.waiting = nil
}

// ask puts a question, whose words follow the key's id. It is false if the link is
// over or too many are out.
func (p *Peer) ask(l *link, tell chan<- resumetoken.Verdict, word string, words ...string) bool {
	k, ok := p.ring().SigningKey(time.Now())
	if !ok {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if l == nil || l.waiting == nil || len(l.waiting) >= asking {
		return false
	}
	l.next++
	line := append([]string{word, l.challenge, strconv.FormatUint(l.next, 10), k.ID.String()}, words...)
	select {
	case l.out <- sealed(k, "ask", line...):
		l.waiting[l.next] = &question{key: k, tell: tell}
		return true
	default:
		return false
	}
}

// heard takes one line of the peer's.
func (p *Peer) heard(l *link, words []string) error {
	if len(words) < 4 {
		return fmt.Errorf("%w: %.60q", errLine, words)
	}
	seq, err := strconv.ParseUint(words[1], 10, 64)
	if err != nil {
		return fmt.Errorf("%w: %.60q", errLine, words)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	q := l.waiting[seq]
	if q == nil || !unseal(q.key, "answer "+l.challenge, words) {
		return fmt.Errorf("%w: an answer's seal does not fit", errLine)
	}
	delete(l.waiting, seq)
	switch {
	case words[0] == aboutMe && len(words) == 7 && q.tell == nil:
		m := resumetoken.Candidate{Name: p.Name, IsReady: words[4] == "ready", IsDurable: words[5] == "stays"}
		if words[2] != p.Name {
			return fmt.Errorf("peer at %s calls itself %.40q, not %q", p.Addr, words[2], p.Name)
		}
		if n, err := hex.Decode(m.GuardID[:], []byte(words[3])); err != nil || n != len(m.GuardID) {
			return fmt.Errorf("%w: ledger %.40q", errLine, words[3])
		}
		p.member, p.seen = m, time.Now()
	case words[0] == verdict && len(words) == 4 && q.tell != nil:
		v, ok := resumetoken.ParseVerdict(words[2])
		if !ok {
			return fmt.Errorf("%w: verdict %.40q", errLine, words[2])
		}
		q.tell <- v
	default:
		return fmt.Errorf("%w: %.60q", errLine, words)
	}
	return nil
}

var errGone = errors.New("no connection to the peer")

// Spend asks the peer's ledger once. It returns errGone if there is no connection
// or it breaks; the same question may then be put again.
func (p *Peer) Spend(ctx context.Context, token string, c resumetoken.RedemptionID) (resumetoken.Verdict, error) {
	tell := make(chan resumetoken.Verdict, 1)
	p.mu.Lock()
	l := p.link
	p.mu.Unlock()
	if !p.ask(l, tell, spend, hex.EncodeToString(c[:]), token) {
		return 0, errGone
	}
	select {
	case v, ok := <-tell:
		if !ok {
			return 0, errGone
		}
		return v, nil
	case <-ctx.Done(): // the answer, if it comes, finds room and nobody
		return resumetoken.ArbiterUnreachable, nil
	}
}

func draw() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
