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
	return g, socket(dir, name, func(addr *net.UnixAddr) (err error) {
		if g.conn, err = net.DialUnix("unixpacket", nil, addr); err == nil && !own(g.conn) {
			g.Close()
			err = errors.New("the taker is another user's")
		}
		return err
	})
}

// Take hands one connection over, within a time that its wait for others counts in. The
// transaction closes its copies then. If it is false, the taker has neither read nor
// written anything, and never will.
func (g *Sender) Take(s proxy.EstablishedSession, caller, hop net.Conn) bool {
	text, err := json.Marshal(s)
	if err != nil || len(text) > largest {
		return false
	}
	until := time.Now().Add(within)
	g.mu.Lock()
	defer g.mu.Unlock()
	offer := func() (err error) {
		return with(caller, func(a int) error {
			return with(hop, func(b int) error {
				_, _, err := g.conn.WriteMsgUnix(text, unix.UnixRights(a, b), nil)
				return err
			})
		})
	}
	return g.ask(until, offer) == prepared && g.commit()
}

// Tell passes on what this process has learned. It is called before connections follow,
// and takes no longer than one of them may.
func (g *Sender) SendLearnedState(m balance.LearnedState) {
	until := time.Now().Add(within)
	g.mu.Lock()
	defer g.mu.Unlock()
	for all := m.Servers; ; {
		n := min(servers, len(all))
		m.Servers, all = all[:n], all[n:]
		text, err := json.Marshal(lesson{&m})
		if err != nil || len(text) > largest || g.ask(until, func() error { _, err := g.conn.Write(text); return err }) != taken {
			slog.Warn("handover: what was learned is not passed on", "err", err, "bytes", len(text))
			return
		}
		if len(all) == 0 {
			return
		}
		m = balance.LearnedState{} // the rest counts once
	}
}

// ask has a message written and returns the taker's word on it, under the lock; empty if
// none came in time.
func (g *Sender) ask(until time.Time, write func() error) string {
	if g.conn == nil || !time.Now().Before(until) {
		return ""
	}
	err := g.conn.SetDeadline(until)
	if err == nil {
		err = write()
	}
	var b [len(kept)]byte
	n := 0
	if err == nil {
		n, err = g.conn.Read(b[:])
	}
	if err != nil {
		g.fail(err)
		return ""
	}
	return string(b[:n])
}

// commit lets go of what was offered, under the lock and before ask's deadline. A message
// that was written lies with the taker, who reads all there is before it gives up; one
// that was not never comes.
func (g *Sender) commit() bool {
	_, err := g.conn.Write([]byte(commit))
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
