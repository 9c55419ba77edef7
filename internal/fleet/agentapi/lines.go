package agentapi

import (
	"bufio"
	"encoding/json"
	"errors"
	"net"
	"time"
)

const (
	// MaxLineBytes is how long a line may be: one of some ten thousand endpoints.
	MaxLineBytes = 2 << 20
	// scanBufferBytes is what a connection's buffer begins with.
	scanBufferBytes = 4096
	// responseTimeout is how long a response may take before the node connects anew.
	responseTimeout = time.Second
)

// errClosed is that the other end closed the connection instead of answering.
var errClosed = errors.New("closed")

func newLineScanner(conn net.Conn) *bufio.Scanner {
	scanner := bufio.NewScanner(conn)
	scanner.Buffer(make([]byte, 0, scanBufferBytes), MaxLineBytes)
	return scanner
}

// readLine reads a message from the next line.
func readLine(scanner *bufio.Scanner, message any) error {
	if !scanner.Scan() {
		if scanner.Err() != nil {
			return scanner.Err()
		}
		return errClosed
	}
	return json.Unmarshal(scanner.Bytes(), message)
}

// writeLine writes a message as a line.
func writeLine(conn net.Conn, message any) error {
	return json.NewEncoder(conn).Encode(message)
}
