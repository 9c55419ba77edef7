package hotrestart

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"coralrelay/balance"
	"coralrelay/internal/proxy"
	"coralrelay/internal/testsocket"
)

// slowReceiver accepts everything, and takes more than a third of the time for each.
type slowReceiver struct{ fakeReceiver }

func (d *slowReceiver) Adopt(s proxy.EstablishedSession, downstreamConn, upstreamConn net.Conn) bool {
	time.Sleep(transferTimeout * 2 / 5)
	return d.fakeReceiver.Adopt(s, downstreamConn, upstreamConn)
}

func (d *slowReceiver) Learn(m balance.LearnedState) {
	time.Sleep(transferTimeout * 2 / 5)
	d.fakeReceiver.Learn(m)
}

// A receiver that is slow with each session holds up none for longer than one may take: all
// others are rejected by then, and those that were taken work.
func TestSlowReceiverHoldsUpNoSession(t *testing.T) {
	dir := t.TempDir()
	receiver := &slowReceiver{fakeReceiver{accepts: true}}
	startReceiver(t, dir, receiver)
	sender := dialSender(t, dir)
	var takes sync.WaitGroup
	begun := time.Now()
	for range 12 {
		downstreamConn, client := testsocket.Pair(t)
		upstreamConn, server := testsocket.Pair(t)
		takes.Go(func() {
			if !sender.Take(proxy.EstablishedSession{Server: "s1"}, downstreamConn, upstreamConn) {
				expectConnected(t, downstreamConn, client)
				expectConnected(t, upstreamConn, server)
			}
		})
	}
	takes.Wait()
	if took := time.Since(begun); took > 2*transferTimeout {
		t.Errorf("the last was decided after %v", took)
	}
}

// Learned state holds up no session either.
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

// exhaustDescriptors takes all descriptors that are left; free gives some back. It ends with the test.
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
	limit := syscall.Rlimit{Cur: uint64(countOpenDescriptors(t) + 64), Max: previous.Max}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
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

// countDescriptorsInPlace counts this process's descriptors without opening one.
func countDescriptorsInPlace() (n int) {
	for fd := range 4096 {
		if _, err := unix.FcntlInt(uintptr(fd), unix.F_GETFD, 0); err == nil {
			n++
		}
	}
	return n
}

// A receiver at its limit takes what it has descriptors for and loses none over a session
// that it has none for, which stays with the sender.
func TestReceiverAtItsDescriptorLimit(t *testing.T) {
	dir := t.TempDir()
	receiver := &fakeReceiver{accepts: true}
	startReceiver(t, dir, receiver)
	sender := dialSender(t, dir)
	downstreamConn, client := testsocket.Pair(t)
	upstreamConn, server := testsocket.Pair(t)
	sender.SendLearnedState(balance.LearnedState{}) // so that the receiver has accepted
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

// logCapture passes on the messages that are logged.
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

// A receiver that is out of descriptors as its sender comes takes the sessions once it has some.
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
	downstreamConn, _ := testsocket.Pair(t)
	upstreamConn, _ := testsocket.Pair(t)
	free := exhaustDescriptors(t)
	free(1)
	conn, err := net.DialUnix(network, nil, &net.UnixAddr{Name: socketPath(dir), Net: network})
	if err != nil {
		t.Fatal(err)
	}
	sender := &Sender{conn: conn}
	defer sender.Close()
	for hasRetried := false; !hasRetried; {
		select {
		case <-ended:
			t.Fatal("the receiver has ended")
		case s := <-captured.messages:
			hasRetried = strings.Contains(s, "accept")
		case <-time.After(testTimeout):
			t.Fatal("nobody has tried to accept the sender")
		}
	}
	free(8)
	if !sender.Take(proxy.EstablishedSession{Server: "s1"}, downstreamConn, upstreamConn) {
		t.Error("the session was not taken")
	}
}
