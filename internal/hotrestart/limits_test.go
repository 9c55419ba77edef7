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
type slowReceiver struct{ fakeReceiver }

func (d *slowReceiver) Adopt(s proxy.EstablishedSession, downstreamConn, upstreamConn net.Conn) bool {
	time.Sleep(transferTimeout * 2 / 5)
	return d.fakeReceiver.Adopt(s, downstreamConn, upstreamConn)
}

func (d *slowReceiver) Learn(m balance.LearnedState) {
	time.Sleep(transferTimeout * 2 / 5)
	d.fakeReceiver.Learn(m)
}

// A taker that is slow with each holds up nobody for longer than one may take: all others
// are told so by then, and what was taken works.
func TestSlowReceiverHoldsUpNoSession(t *testing.T) {
	dir := t.TempDir()
	receiver := &slowReceiver{fakeReceiver{accepts: true}}
	startReceiver(t, dir, receiver)
	sender := dialSender(t, dir)
	var takes sync.WaitGroup
	begun := time.Now()
	for range 12 {
		downstreamConn, client := connectedPair(t)
		upstreamConn, server := connectedPair(t)
		takes.Go(func() {
			if !sender.Take(proxy.EstablishedSession{Server: "s1"}, downstreamConn, upstreamConn) {
				expectConnected(t, downstreamConn, client)
				expectConnected(t, upstreamConn, server)
			}
		})
	}
	takes.Wait()
	if took := time.Since(begun); took > 2*transferTimeout {
		t.Errorf("the last was told after %v", took)
	}
}

// What is learned holds up nobody either.
func TestSlowReceiverBoundsLearnedState(t *testing.T) {
	dir := t.TempDir()
	startReceiver(t, dir, &slowReceiver{fakeReceiver{accepts: true}})
	sender := dialSender(t, dir)
	state := balance.LearnedState{}
	for i := range 10 * maxServersPerMessage {
		state.Servers = append(state.Servers, balance.LearnedServer{ID: fmt.Sprint("s", i)})
	}
	begun := time.Now()
	sender.SendLearnedState(state)
	if took := time.Since(begun); took > 2*transferTimeout {
		t.Errorf("it took %v", took)
	}
}

// fill takes all descriptors but some; free gives so many back. It ends with the test.
func exhaustDescriptors(t *testing.T) (free func(n int)) {
	t.Helper()
	var previous syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &previous); err != nil {
		t.Fatal(err)
	}
	var files []*os.File
	t.Cleanup(func() {
		_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &previous)
		for _, f := range files {
			_ = f.Close()
		}
	})
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: uint64(countOpenDescriptors(t) + 64), Max: previous.Max}); err != nil {
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
func countDescriptorsInPlace() (n int) {
	for fd := range 4096 {
		if _, err := unix.FcntlInt(uintptr(fd), unix.F_GETFD, 0); err == nil {
			n++
		}
	}
	return n
}

// A taker at its limit takes what it has room for, loses no descriptor over what it has
// not, and the giver keeps that.
func TestReceiverAtItsDescriptorLimit(t *testing.T) {
	dir := t.TempDir()
	receiver := &fakeReceiver{accepts: true}
	startReceiver(t, dir, receiver)
	sender := dialSender(t, dir)
	downstreamConn, client := connectedPair(t)
	upstreamConn, server := connectedPair(t)
	sender.SendLearnedState(balance.LearnedState{}) // so that the taker has accepted
	free := exhaustDescriptors(t)
	for left := range 4 {
		before := countDescriptorsInPlace()
		if took := sender.Take(proxy.EstablishedSession{Server: "s1"}, downstreamConn, upstreamConn); took != (left >= 3) {
			t.Errorf("%d left: taken %v", left, took)
		}
		if after := countDescriptorsInPlace(); left < 3 && after != before {
			t.Errorf("%d left: %d descriptors before, %d after", left, before, after)
		}
		expectConnected(t, downstreamConn, client)
		expectConnected(t, upstreamConn, server)
		free(1)
	}
}

// words is told what is logged.
type logCapture struct {
	slog.Handler
	messages chan string
}

func (w logCapture) Enabled(context.Context, slog.Level) bool { return true }
func (w logCapture) Handle(_ context.Context, r slog.Record) error {
	select {
	case w.messages <- r.Message:
	default:
	}
	return nil
}

// A taker that is out of descriptors as its giver comes takes what stands once it has some.
func TestReceiverRetriesAcceptWithoutDescriptors(t *testing.T) {
	dir := t.TempDir()
	captured := logCapture{slog.Default().Handler(), make(chan string, 99)}
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(captured))
	ctx, cancel := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	receiver := &fakeReceiver{accepts: true}
	defer receiver.close()
	if err := Listen(ctx, &goroutines, dir, "node.1", receiver); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { goroutines.Wait(); close(ended) }()
	defer func() { cancel(); <-ended }()
	downstreamConn, _ := connectedPair(t)
	upstreamConn, _ := connectedPair(t)
	free := exhaustDescriptors(t)
	free(1)
	conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: filepath.Join(dir, socketPrefix+"node.1"), Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	sender := &Sender{conn: conn}
	defer sender.Close()
	for hasRetried := false; !hasRetried; {
		select {
		case <-ended:
			t.Fatal("the taker has gone")
		case s := <-captured.messages:
			hasRetried = strings.Contains(s, "accept")
		case <-time.After(testTimeout):
			t.Fatal("nobody has tried to accept the giver")
		}
	}
	free(8)
	if !sender.Take(proxy.EstablishedSession{Server: "s1"}, downstreamConn, upstreamConn) {
		t.Error("what stands was not taken")
	}
}
