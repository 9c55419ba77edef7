package testbed

import (
	"fmt"
	"os"
	"strings"
)

// Lines of /proc/PID/status.
const (
	residentMemoryLine = "VmRSS:"
	peakMemoryLine     = "VmHWM:"
)

// ResidentMemory returns the process's resident memory in bytes, or 0 if it can't be read.
func (p *Process) ResidentMemory() int64 { return p.readStatus(residentMemoryLine) }

// PeakMemory returns the most resident memory that the process has had, in bytes, or 0 if it can't be
// read.
func (p *Process) PeakMemory() int64 { return p.readStatus(peakMemoryLine) }

// readStatus returns a size in bytes from the process's status, or 0 if it can't be read.
func (p *Process) readStatus(prefix string) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, prefix); ok {
			var kilobytes int64
			_, _ = fmt.Sscan(value, &kilobytes) // 0 if it fails
			return kilobytes << 10
		}
	}
	return 0
}
