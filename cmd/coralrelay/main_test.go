package main

import (
	"os"
	"strconv"
	"syscall"
	"testing"
)

// TestMain lets the test binary stand in for the node's process, where signals
// are tested.
func TestMain(m *testing.M) {
	if os.Getenv("BALANCER_CONFIG") != "" {
		if n, err := strconv.Atoi(os.Getenv("TEST_NOFILE")); err == nil {
			if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: uint64(n), Max: uint64(n)}); err != nil {
				panic(err)
			}
		}
		main()
		return
	}
	os.Exit(m.Run())
}
