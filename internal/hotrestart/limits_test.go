package hotrestart

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"coralrelay/balance"
	"coralrelay/internal/proxy"
)

// dawdler takes everything, and more than a third of the time for it each.
type dawdler struct{ taker }

func (d *dawdler) Adopt(s proxy.EstablishedSession, caller, hop net.Conn) bool {
	time.Sleep(within * 2 / 5)
	return d.taker.Adopt(s, caller, hop)
}

func (d *dawdler) Learn(m balance.LearnedState) {
	time.Sleep(within * 2 / 5)
	d.taker.Learn(m)
}

// A taker that is slow with each holds up nobody for longer than one may take: all others
// are told so by then, and what was taken works.
func TestSlowTaker(t *testing.T) {
	dir := t.TempDir()
	k := &dawdler{taker{wants: true}}
	serve(t, dir, k)
	g := give(t, dir)
	var all sync.WaitGroup
	begun := time.Now()
	for range 12 {
		caller, client := pair(t)
		hop, feed := pair(t)
		all.Go(func() {
			if !g.Take(proxy.EstablishedSession{Server: "s1"}, caller, hop) {
				works(t, caller, client)
				works(t, hop, feed)
			}
		})
	}
	all.Wait()
	if took := time.Since(begun); took > 2*within {
		t.Errorf("the last was told after %v", took)
	}
}

// What is learned holds up nobody either.
func TestSlowLearner(t *testing.T) {
	dir := t.TempDir()
	serve(t, dir, &dawdler{taker{wants: true}})
	g := give(t, dir)
	m := balance.LearnedState{}
	for i := range 10 * servers {
		m.Servers = append(m.Servers, balance.LearnedServer{ID: fmt.Sprint("s", i)})
	}
	begun := time.Now()
	g.SendLearnedState(m)
	if took := time.Since(begun); took > 2*within {
		t.Errorf("it took %v", took)
	}
}

// fill takes all descriptors but some; free gives so many back. It ends with the test.
func fill(t *testing.T) (free func(n int)) {
	t.Helper()
	var was syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	var files []*os.File
	t.Cleanup(func() {
		_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &was)
		for _, f := range files {
			_ = f.Close()
		}
	})
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: uint64(descriptors(t) + 64), Max: was.Max}); err != nil {
		t.Fatal(err)
	}
	for {
		f, err := os.Open(os.DevNull)
		if err != nil {
			break
		}
		files = append(files, f)
	}
	return func(n int) {
		for range n {
			_ = files[0].Close()
			files = files[1:]
		}
	}
}

// count is how many numbers below the limit are descriptors, without opening one.
func count() (n int) {
	for fd := range 4096 {
		if _, err := unix.FcntlInt(uintptr(fd), unix.F_GETFD, 0); err == nil {
			n++
		}
	}
	return n
}

// A taker at its limit takes what it has room for, loses no descriptor over what it has
// not, and the giver keeps that.
func TestTakerAtItsLimit(t *testing.T) {
	dir := t.TempDir()
	k := &taker{wants: true}
	serve(t, dir, k)
	g := give(t, dir)
	caller, client := pair(t)
	hop, feed := pair(t)
	g.SendLearnedState(balance.LearnedState{}) // so that the taker has accepted
	free := fill(t)
	for left := range 4 {
		before := count()
		if took := g.Take(proxy.EstablishedSession{Server: "s1"}, caller, hop); took != (left >= 3) {
			t.Errorf("%d left: taken %v", left, took)
		}
		if after := count(); left < 3 && after != before {
			t.Errorf("%d left: %d descriptors before, %d after", left, before, after)
		}
		works(t, caller, client)
		works(t, hop, feed)
		free(1)
	}
}

// words is told what is logged.
type words struct {
	slog.Handler
	to chan string
}

func (w words) Enabled(context.Context, slog.Level) bool { return true }
func (w words) Handle(_ context.Context, r slog.Record) error {
	select {
	case w.to <- r.Message:
	default:
	}
	return nil
}

// A taker that is out of descriptors as its giver comes takes what stands once it has some.
func TestNoDescriptorForTheGiver(t *testing.T) {
	dir := t.TempDir()
	said := words{slog.Default().Handler(), make(chan string, 99)}
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(said))
	ctx, cancel := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	k := &taker{wants: true}
	defer k.close()
	if err := Listen(ctx, &parts, dir, "node.1", k); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { parts.Wait(); close(ended) }()
	defer func() { cancel(); <-ended }()
	caller, _ := pair(t)
	hop, _ := pair(t)
	free := fill(t)
	free(1)
	conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: filepath.Join(dir, version+"node.1"), Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	g := &Sender{conn: conn}
	defer g.Close()
	for tried := false; !tried; {
		select {
		case <-ended:
			t.Fatal("the taker has gone")
		case s := <-said.to:
			tried = strings.Contains(s, "accept")
		case <-time.After(patience):
			t.Fatal("nobody has tried to accept the giver")
		}
	}
	free(8)
	if !g.Take(proxy.EstablishedSession{Server: "s1"}, caller, hop) {
		t.Error("what stands was not taken")
	}
}
