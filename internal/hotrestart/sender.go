package hotrestart

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"coralrelay/balance"
	"coralrelay/internal/proxy"
)

// Giver hands connections to the process that serves at a name in a folder. It is an
// exchange.Heir; once something has failed, it gives nothing more.
type Sender struct {
	mu   sync.Mutex
	conn *net.UnixConn // nil once it has failed
}

// Give connects to the taker.
func Dial(dir, name string) (*Sender, error) {
	g := &Sender{}
	return g, withSocketAddr(dir, name, func(addr *net.UnixAddr) (err error) {
		if g.conn, err = net.DialUnix("unixpacket", nil, addr); err == nil && !isSameUser(g.conn) {
			g.Close()
			err = errors.New("the taker is another user's")
		}
		return err
	})
}

// Take hands one connection over, within a time that its wait for others counts in. The
// transaction closes its copies then. If it is false, the taker has neither read nor
// written anything, and never will.
func (g *Sender) Take(session proxy.EstablishedSession, downstreamConn, upstreamConn net.Conn) bool {
	message, err := json.Marshal(session)
	if err != nil || len(message) > maxMessageBytes {
		return false
	}
	deadline := time.Now().Add(transferTimeout)
	g.mu.Lock()
	defer g.mu.Unlock()
	offer := func() (err error) {
		return withDescriptor(downstreamConn, func(downstreamFD int) error {
			return withDescriptor(upstreamConn, func(upstreamFD int) error {
				_, _, err := g.conn.WriteMsgUnix(message, unix.UnixRights(downstreamFD, upstreamFD), nil)
				return err
			})
		})
	}
	return g.roundTrip(deadline, offer) == replyPrepared && g.sendCommit()
}

// Tell passes on what this process has learned. It is called before connections follow,
// and takes no longer than one of them may.
func (g *Sender) SendLearnedState(state balance.LearnedState) {
	deadline := time.Now().Add(transferTimeout)
	g.mu.Lock()
	defer g.mu.Unlock()
	for remaining := state.Servers; ; {
		n := min(maxServersPerMessage, len(remaining))
		state.Servers, remaining = remaining[:n], remaining[n:]
		message, err := json.Marshal(learnedStateMessage{&state})
		if err != nil || len(message) > maxMessageBytes || g.roundTrip(deadline, func() error { _, err := g.conn.Write(message); return err }) != replyLearned {
			slog.Warn("handover: what was learned is not passed on", "err", err, "bytes", len(message))
			return
		}
		if len(remaining) == 0 {
			return
		}
		state = balance.LearnedState{} // the rest counts once
	}
}

// ask has a message written and returns the taker's word on it, under the lock; empty if
// none came in time.
func (g *Sender) roundTrip(deadline time.Time, write func() error) string {
	if g.conn == nil || !time.Now().Before(deadline) {
		return ""
	}
	err := g.conn.SetDeadline(deadline)
	if err == nil {
		err = write()
	}
	var reply [len(replyRejected)]byte
	n := 0
	if err == nil {
		n, err = g.conn.Read(reply[:])
	}
	if err != nil {
		g.fail(err)
		return ""
	}
	return string(reply[:n])
}

// commit lets go of what was offered, under the lock and before ask's deadline. A message
// that was written lies with the taker, who reads all there is before it gives up; one
// that was not never comes.
func (g *Sender) sendCommit() bool {
	_, err := g.conn.Write([]byte(commitMessage))
	if err != nil {
		g.fail(err)
	}
	return err == nil
}

func (g *Sender) fail(err error) {
	slog.Warn("handover: what is left is moved", "err", err)
	_ = g.conn.Close()
	g.conn = nil
}

// Close ends the giving; what was handed over stays so.
func (g *Sender) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn != nil {
		_ = g.conn.Close()
		g.conn = nil
	}
}
