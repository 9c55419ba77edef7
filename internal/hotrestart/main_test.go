package hotrestart

import (
	"os"
	"testing"

	"coralrelay/internal/audit"
)

func TestMain(m *testing.M) { os.Exit(audit.RunTests(m.Run)) }
