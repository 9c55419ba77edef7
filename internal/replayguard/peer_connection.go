package replayguard

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"coralrelay/internal/resumetoken"
)

// responseTimeout ends a connection on which nothing is received.
const responseTimeout = 2 * statusTimeout

// peerConnection is one connection to a peer. The peer's lock guards lastSequence and pending.
type peerConnection struct {
	conn         net.Conn
	challenge    string
	outgoing     chan string
	lastSequence uint64
	pending      map[uint64]*pendingRequest // by sequence number; nil after the connection's end
}

// pendingRequest is a request that is not yet answered.
type pendingRequest struct {
	key *resumetoken.Key
	// reply receives the verdict and has a buffer for it; it is closed if the connection ends
	// first. It is nil for a HELLO.
	reply chan<- resumetoken.Verdict
}

func newPeerConnection(conn net.Conn) *peerConnection {
	return &peerConnection{
		conn:      conn,
		challenge: newChallenge(),
		outgoing:  make(chan string, maxPendingRequests),
		pending:   map[uint64]*pendingRequest{},
	}
}

// connect makes a connection and works until it or ctx ends. The goroutines that it starts
// have ended when it returns.
func (p *Peer) connect(ctx context.Context) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.Addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	connection := newPeerConnection(conn)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	defer cancel()
	p.attach(connection)
	defer p.detach(connection)
	wg.Go(func() { writeLines(ctx, conn, connection.outgoing) })
	wg.Go(func() { p.pollStatus(ctx, connection) })
	return p.readResponses(connection)
}

// attach makes the connection the one that requests are sent on.
func (p *Peer) attach(connection *peerConnection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connection = connection
}

// detach ends the use of a connection: whoever waits for a response learns that none comes.
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

// pollStatus requests the peer's status again and again until ctx ends. It closes the
// connection if no request can be sent, as with a peer that answers nothing.
func (p *Peer) pollStatus(ctx context.Context, connection *peerConnection) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		if !p.send(connection, nil, helloMessage) {
			_ = connection.conn.Close()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readResponses reads until the connection ends or a response is not accepted.
func (p *Peer) readResponses(connection *peerConnection) error {
	reader := bufio.NewReaderSize(connection.conn, maxLineBytes)
	for {
		_ = connection.conn.SetReadDeadline(time.Now().Add(responseTimeout))
		fields, err := readFields(reader)
		if err != nil {
			return err
		}
		if err := p.handleResponse(connection, fields); err != nil {
			return err
		}
	}
}

// send queues a request; the arguments stand behind the key's id. It is false if the
// connection has ended, too many requests are unanswered, or no key signs yet.
func (p *Peer) send(
	connection *peerConnection, reply chan<- resumetoken.Verdict, command string, arguments ...string,
) bool {
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
	sequence := connection.lastSequence
	head := []string{command, connection.challenge, strconv.FormatUint(sequence, 10), key.ID.String()}
	select {
	case connection.outgoing <- authenticatedLine(key, requestContext, append(head, arguments...)...):
		connection.pending[sequence] = &pendingRequest{key: key, reply: reply}
		return true
	default:
		return false
	}
}

// handleResponse takes one response.
func (p *Peer) handleResponse(connection *peerConnection, fields []string) error {
	if len(fields) < minResponseFields {
		return malformed(fields)
	}
	sequence, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return malformed(fields)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	request := connection.pending[sequence]
	if request == nil || !verifyLine(request.key, responseContext(connection.challenge), fields) {
		return &protocolError{problem: "response's MAC does not match, sequence", line: fields[1]}
	}
	delete(connection.pending, sequence)
	isVerdict := request.reply != nil
	switch {
	case !isVerdict && fields[0] == statusMessage && len(fields) == statusFields:
		status, err := parseStatus(fields, p.Name)
		if err != nil {
			return err
		}
		p.status, p.statusAt = status, time.Now()
	case isVerdict && fields[0] == verdictMessage && len(fields) == verdictFields:
		verdict, err := parseVerdict(fields)
		if err != nil {
			return err
		}
		request.reply <- verdict
	default:
		return malformed(fields)
	}
	return nil
}
