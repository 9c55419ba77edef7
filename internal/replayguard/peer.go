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
	statusInterval = 500 * time.Millisecond
	// lately is how long its answer counts.
	statusTimeout = 1500 * time.Millisecond
	// again is the pause before a peer that is gone is called again.
	reconnectDelay = 250 * time.Millisecond
	// asking is how many questions may be out to one peer.
	maxPendingRequests = 1024
)

// Peer is another node's ledger.
type Peer struct {
	Name, Addr string
	ring       func() *resumetoken.KeyRing
	failures   logging.Throttled

	mu         sync.Mutex
	connection *peerConnection // nil while there is no connection
	status     resumetoken.Candidate
	statusAt   time.Time // when it last said how it is
}

// link is one connection to a peer. Its fields are under the peer's lock.
type peerConnection struct {
	conn         net.Conn
	challenge    string
	outgoing     chan string
	lastSequence uint64
	pending      map[uint64]*pendingRequest
}

type pendingRequest struct {
	key   *resumetoken.Key
	reply chan<- resumetoken.Verdict // has room for one; closed if the link ends; nil for a hello
}

// Member tells how the peer is.
func (p *Peer) Candidate(now time.Time) resumetoken.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidate := p.status
	candidate.IsReady = candidate.IsReady && p.connection != nil && now.Sub(p.statusAt) < statusTimeout
	return candidate
}

// Run keeps a connection to the peer until ctx ends.
func (p *Peer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := p.connect(ctx); ctx.Err() == nil {
			p.failures.Warn("ledger: peer", "peer", p.Name, "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

func (p *Peer) connect(ctx context.Context) error {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", p.Addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	connection := &peerConnection{conn: conn, challenge: newChallenge(), outgoing: make(chan string, maxPendingRequests), pending: map[uint64]*pendingRequest{}}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	defer cancel()
	p.mu.Lock()
	p.connection = connection
	p.mu.Unlock()
	defer p.detach(connection)
	wg.Go(func() { writeLines(ctx, conn, connection.outgoing) })
	wg.Go(func() {
		ticker := time.NewTicker(statusInterval)
		defer ticker.Stop()
		for {
			if !p.send(connection, nil, helloMessage) {
				_ = conn.Close() // it answers nothing
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
	reader := bufio.NewReaderSize(conn, maxLineBytes)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(2 * statusTimeout))
		fields, err := readFields(reader, 0)
		if err != nil {
			return err
		}
		if err := p.handleResponse(connection, fields); err != nil {
			return err
		}
	}
}

// unlink ends a link: whoever waits for an answer learns that none comes.
func (p *Peer) detach(connection *peerConnection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connection = nil
	for _, request := range connection.pending {
		if request.reply != nil {
			close(request.reply)
		}
	}
	connection.pending = nil
}

// ask puts a question, whose words follow the key's id. It is false if the link is
// over or too many are out.
func (p *Peer) send(connection *peerConnection, reply chan<- resumetoken.Verdict, command string, arguments ...string) bool {
	key, ok := p.ring().SigningKey(time.Now())
	if !ok {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if connection == nil || connection.pending == nil || len(connection.pending) >= maxPendingRequests {
		return false
	}
	connection.lastSequence++
	line := append([]string{command, connection.challenge, strconv.FormatUint(connection.lastSequence, 10), key.ID.String()}, arguments...)
	select {
	case connection.outgoing <- authenticatedLine(key, "ask", line...):
		connection.pending[connection.lastSequence] = &pendingRequest{key: key, reply: reply}
		return true
	default:
		return false
	}
}

// heard takes one line of the peer's.
func (p *Peer) handleResponse(connection *peerConnection, fields []string) error {
	if len(fields) < 4 {
		return fmt.Errorf("%w: %.60q", errMalformedLine, fields)
	}
	sequence, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return fmt.Errorf("%w: %.60q", errMalformedLine, fields)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	request := connection.pending[sequence]
	if request == nil || !verifyLine(request.key, "answer "+connection.challenge, fields) {
		return fmt.Errorf("%w: an answer's seal does not fit", errMalformedLine)
	}
	delete(connection.pending, sequence)
	switch {
	case fields[0] == statusMessage && len(fields) == 7 && request.reply == nil:
		status := resumetoken.Candidate{Name: p.Name, IsReady: fields[4] == "ready", IsDurable: fields[5] == "stays"}
		if fields[2] != p.Name {
			return fmt.Errorf("peer at %s calls itself %.40q, not %q", p.Addr, fields[2], p.Name)
		}
		if n, err := hex.Decode(status.GuardID[:], []byte(fields[3])); err != nil || n != len(status.GuardID) {
			return fmt.Errorf("%w: ledger %.40q", errMalformedLine, fields[3])
		}
		p.status, p.statusAt = status, time.Now()
	case fields[0] == verdictMessage && len(fields) == 4 && request.reply != nil:
		v, ok := resumetoken.ParseVerdict(fields[2])
		if !ok {
			return fmt.Errorf("%w: verdict %.40q", errMalformedLine, fields[2])
		}
		request.reply <- v
	default:
		return fmt.Errorf("%w: %.60q", errMalformedLine, fields)
	}
	return nil
}

var errNotConnected = errors.New("no connection to the peer")

// Spend asks the peer's ledger once. It returns errGone if there is no connection
// or it breaks; the same question may then be put again.
func (p *Peer) Spend(ctx context.Context, token string, id resumetoken.RedemptionID) (resumetoken.Verdict, error) {
	reply := make(chan resumetoken.Verdict, 1)
	p.mu.Lock()
	connection := p.connection
	p.mu.Unlock()
	if !p.send(connection, reply, spendMessage, hex.EncodeToString(id[:]), token) {
		return 0, errNotConnected
	}
	select {
	case v, ok := <-reply:
		if !ok {
			return 0, errNotConnected
		}
		return v, nil
	case <-ctx.Done(): // the answer, if it comes, finds room and nobody
		return resumetoken.ArbiterUnreachable, nil
	}
}

func newChallenge() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
