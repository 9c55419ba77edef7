// Package handover passes standing connections from a process to its successor: over a
// Unix socket, one message for each, with the two sockets in it, and one answer. Messages
// without sockets tell what the process has learned of its fleet.
package handover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"coralrelay/balance"
	"coralrelay/internal/exchange"
	"coralrelay/internal/leg"
)

const (
	// within is how long the other side may take for one connection. It does no I/O of
	// its own meanwhile; a process that takes longer is about to fail.
	within = 500 * time.Millisecond
	// largest bounds a message: what was read and not used, twice, in base64, and the
	// request.
	largest = 8 * leg.Size
	taken   = "taken"
	kept    = "not taken"
)

// Taker goes on with connections, and by what the other process has learned.
type Taker interface {
	Adopt(s exchange.Standing, caller, hop net.Conn) bool
	Learn(m balance.Memory)
}

// lesson is a message without connections.
type lesson struct{ Learned *balance.Memory }

// servers is how many a message tells of: a fleet may be larger than a message.
const servers = 64

// socket finds the address of a name in a folder. It must be short, so it names the folder
// by its descriptor.
func socket(dir, name string, then func(addr *net.UnixAddr) error) error {
	folder, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	defer folder.Close()
	path := filepath.Join(fmt.Sprintf("/proc/self/fd/%d", folder.Fd()), name)
	if err := then(&net.UnixAddr{Name: path, Net: "unixpacket"}); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Serve takes connections at a name in a folder, until ctx ends. What an earlier process
// has left there goes: the name is this one's own.
func Serve(ctx context.Context, parts *sync.WaitGroup, dir, name string, to Taker) error {
	return socket(dir, name, func(addr *net.UnixAddr) error {
		if err := os.Remove(addr.Name); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		l, err := net.ListenUnix("unixpacket", addr)
		if err != nil {
			return err
		}
		l.SetUnlinkOnClose(false) // the name may be the next process's by then
		context.AfterFunc(ctx, func() { _ = l.Close() })
		parts.Go(func() {
			for {
				conn, err := l.AcceptUnix()
				if err != nil {
					return // closed
				}
				take(ctx, conn, to) // one giver at a time: there is only one process beside this
			}
		})
		return nil
	})
}

// take takes connections from one giver until it ends.
func take(ctx context.Context, conn *net.UnixConn, to Taker) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if !own(conn) {
		slog.Error("handover: connections of another user are not taken")
		return
	}
	n := 0
	defer func() { slog.Info("handover: taken over", "connections", n) }()
	message, rights := make([]byte, largest), make([]byte, unix.CmsgSpace(2*4))
	for {
		size, oob, flags, _, err := conn.ReadMsgUnix(message, rights)
		if err != nil || size == 0 {
			return
		}
		answer := taken
		if oob == 0 && flags&unix.MSG_CTRUNC == 0 {
			if err := learn(message[:size], to); err != nil {
				slog.Warn("handover: what was learned is not taken", "err", err)
				answer = kept
			}
		} else if err := adopt(message[:size], rights[:oob], flags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) == 0, to); err != nil {
			slog.Warn("handover: a connection is not taken", "err", err)
			answer = kept
		} else {
			n++
		}
		_ = conn.SetWriteDeadline(time.Now().Add(within))
		if _, err := conn.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// learn passes on what a message says was learned.
func learn(message []byte, to Taker) error {
	var l lesson
	if err := json.Unmarshal(message, &l); err != nil {
		return err
	}
	if l.Learned == nil {
		return errors.New("a message has no connections and teaches nothing")
	}
	to.Learn(*l.Learned)
	return nil
}

// adopt has one connection gone on with.
func adopt(message, rights []byte, whole bool, to Taker) error {
	conns, err := received(rights)
	if err == nil && !whole {
		err = errors.New("a message came cut off")
	}
	give := func() {
		for _, c := range conns {
			_ = c.Close() // the giver's copies stay open
		}
	}
	if err == nil && len(conns) != 2 {
		err = fmt.Errorf("%d connections in a message, want 2", len(conns))
	}
	var s exchange.Standing
	if err == nil {
		err = json.Unmarshal(message, &s)
	}
	if err == nil && max(len(s.FromCaller), len(s.FromHop)) > leg.Size {
		err = errors.New("more was read than a buffer holds")
	}
	if err != nil {
		give()
		return err
	}
	if !to.Adopt(s, conns[0], conns[1]) {
		give()
		return fmt.Errorf("%s: its id is in use, or this process ends too", s.ID)
	}
	return nil
}

// received returns the connections that came with a message.
func received(rights []byte) (conns []net.Conn, err error) {
	messages, err := unix.ParseSocketControlMessage(rights)
	if err != nil {
		return nil, err
	}
	for i := range messages {
		fds, err := unix.ParseUnixRights(&messages[i])
		if err != nil {
			return conns, err
		}
		for _, fd := range fds {
			file := os.NewFile(uintptr(fd), "handed over")
			conn, err2 := net.FileConn(file) // has a copy of its own
			_ = file.Close()
			if err2 != nil {
				err = err2
				continue
			}
			conns = append(conns, conn)
		}
		if err != nil {
			return conns, err
		}
	}
	return conns, nil
}

// own tells whether the other side is of this process's user.
func own(conn *net.UnixConn) (yes bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		cred, err := unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
		yes = err == nil && int(cred.Uid) == os.Getuid()
	})
	return yes
}

// Giver hands connections to the process that serves at a name in a folder. It is an
// exchange.Heir; once something has failed, it gives nothing more.
type Giver struct {
	mu   sync.Mutex
	conn *net.UnixConn // nil once it has failed
}

// Give connects to the taker.
func Give(dir, name string) (*Giver, error) {
	g := &Giver{}
	return g, socket(dir, name, func(addr *net.UnixAddr) (err error) {
		if g.conn, err = net.DialUnix("unixpacket", nil, addr); err == nil && !own(g.conn) {
			g.Close()
			err = errors.New("the taker is another user's")
		}
		return err
	})
}

// Take hands one connection over. The transaction closes its copies then.
func (g *Giver) Take(s exchange.Standing, caller, hop net.Conn) bool {
	text, err := json.Marshal(s)
	if err != nil || len(text) > largest {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn == nil {
		return false
	}
	return g.send(func() (err error) {
		return with(caller, func(a int) error {
			return with(hop, func(b int) error {
				_, _, err := g.conn.WriteMsgUnix(text, unix.UnixRights(a, b), nil)
				return err
			})
		})
	})
}

// Tell passes on what this process has learned. It is called before connections follow.
func (g *Giver) Tell(m balance.Memory) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for all := m.Servers; g.conn != nil; {
		n := min(servers, len(all))
		m.Servers, all = all[:n], all[n:]
		text, err := json.Marshal(lesson{&m})
		if err != nil || len(text) > largest || !g.send(func() error { _, err := g.conn.Write(text); return err }) {
			slog.Warn("handover: what was learned is not passed on", "err", err, "bytes", len(text))
			return
		}
		if len(all) == 0 {
			return
		}
		m = balance.Memory{} // the rest counts once
	}
}

// send has a message written and waits for the word on it, under the lock.
func (g *Giver) send(write func() error) bool {
	err := g.conn.SetDeadline(time.Now().Add(within))
	if err == nil {
		err = write()
	}
	var b [len(kept)]byte
	n := 0
	if err == nil {
		n, err = g.conn.Read(b[:])
	}
	if err != nil {
		slog.Warn("handover: what is left is moved", "err", err)
		_ = g.conn.Close()
		g.conn = nil
	}
	return err == nil && string(b[:n]) == taken
}

// with lends a connection's descriptor.
func with(conn net.Conn, f func(fd int) error) error {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return errors.New("a connection has no descriptor")
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	inner := raw.Control(func(fd uintptr) { err = f(int(fd)) })
	return errors.Join(inner, err)
}

// Close ends the giving; what was handed over stays so.
func (g *Giver) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn != nil {
		_ = g.conn.Close()
		g.conn = nil
	}
}
