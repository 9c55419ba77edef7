package main

import (
	"os"
	"strconv"
	"syscall"
	"testing"

	"coralrelay/internal/audit"
)

// TestMain runs the test binary as the node's process if BALANCER_CONFIG is set, with TEST_NOFILE as its
// limit of descriptors.
func TestMain(m *testing.M) {
	if os.Getenv("BALANCER_CONFIG") != "" {
		if n, err := strconv.Atoi(os.Getenv("TEST_NOFILE")); err == nil {
			limit := syscall.Rlimit{Cur: uint64(n), Max: uint64(n)}
			if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
				panic(err)
			}
		}
		main()
		return
	}
	os.Exit(audit.RunTests(m.Run))
}
