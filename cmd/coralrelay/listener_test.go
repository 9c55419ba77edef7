package main

import (
	"syscall"
	"testing"
)

// The listener's flag not to block is shared by all processes that hold it, and any of them may
// clear it: this process still accepts new clients, and drains in its time.
func TestListenerMadeBlocking(t *testing.T) {
	node := newSharedSocket(t, 256)
	p := node.startServing()
	raw, err := node.file.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var flagErr error
	if err := raw.Control(func(fd uintptr) { flagErr = syscall.SetNonblock(int(fd), false) }); err != nil {
		t.Fatal(err)
	}
	if flagErr != nil {
		t.Fatal(flagErr)
	}
	var session *client
	for _, id := range []string{"a", "b"} { // behind each the next accept blocks
		session = openSession(t, node.addr, id)
	}
	p.expectMoveAndExit(session)
}
