package main

import (
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
)

// The listener's flag not to block is shared by all who hold it, and any of them may clear
// it: this process still hears of new clients, and leaves in its time.
func TestListenerMadeBlocking(t *testing.T) {
	var got atomic.Int32
	upstreamAddr := listen(t, serveUpstream(&got))
	addr, file := listeningSocket(t)
	path, tmp := filepath.Join(t.TempDir(), "config.json"), t.TempDir()
	writeConfig(t, path, addr, startDiscovery(t, upstreamAddr), upstreamAddr, 256)
	p := startProcess(t, path, tmp, file)
	p.untilAnswer("PING", "200")
	raw, err := file.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) { err = syscall.SetNonblock(int(fd), false) }); err != nil {
		t.Fatal(err)
	}
	if err != nil {
		t.Fatal(err)
	}
	var session *client
	for _, id := range []string{"a", "b"} { // behind each the next accept blocks
		session = dialClient(t, addr, openLine(id))
		if s := session.readLine(); s != "UP r1" {
			t.Errorf("%s: %q", id, s)
		}
	}
	p.expectMoveAndExit(session)
}
