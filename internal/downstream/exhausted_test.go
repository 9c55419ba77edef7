package downstream

import (
	"net"
	"os"
	"syscall"
	"testing"
)

// exhaustedListener fails one accept for each value in failures, like a process without
// descriptors.
type exhaustedListener struct {
	fakeListener
	failures chan struct{}
	errno    syscall.Errno
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	select {
	case <-l.failures:
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", l.errno)}
	default:
		return l.fakeListener.Accept()
	}
}

// When an accept fails for lack of a descriptor, the process closes descriptors that it can do
// without; if there are none, the client that has been idle for longest is evicted. The server
// keeps accepting.
func TestFreesDescriptorWhenAcceptFails(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		for _, freed := range []int{1, 0} {
			s := New(make(rejectingDispatcher, 8), nil, Limits{Sockets: 64})
			freeCalls := 0
			s.FreeDescriptors = func() int { freeCalls++; return freed }
			listener := &exhaustedListener{
				fakeListener: make(fakeListener), failures: make(chan struct{}, 8), errno: errno,
			}
			stopServing := serve(t, s, listener)
			idle := listener.connect(t, "")
			listener.failures <- struct{}{}
			second := listener.connect(t, "OPEN a k c=feed,d=1000\r\n") // the accept after this one fails
			third := listener.connect(t, "OPEN b k c=feed,d=1000\r\n")
			if got := readAll(t, second) + readAll(t, third); got != "BUSY\r\nBUSY\r\n" {
				t.Errorf("%v: ordinary clients read %q", errno, got)
			}
			if freed == 0 {
				if got := readAll(t, idle); got != "BUSY\r\n" {
					t.Errorf("%v: the idle client read %q", errno, got)
				}
			}
			stopServing()
			s.Close()
			if freeCalls != 1 {
				t.Errorf("%v: FreeDescriptors was called %d times", errno, freeCalls)
			}
		}
	}
}

// The server also keeps accepting after an accept that fails for another reason.
func TestAcceptsAfterOtherErrors(t *testing.T) {
	s := New(make(rejectingDispatcher, 8), nil, Limits{Sockets: 64})
	listener := &exhaustedListener{
		fakeListener: make(fakeListener), failures: make(chan struct{}, 1), errno: syscall.ECONNABORTED,
	}
	listener.failures <- struct{}{}
	stopServing := serve(t, s, listener)
	if got := readAll(t, listener.connect(t, "OPEN a k c=feed,d=1000\r\n")); got != "BUSY\r\n" {
		t.Errorf("the client read %q", got)
	}
	stopServing()
	s.Close()
}
