package agentapi

import (
	"bufio"
	"encoding/json"
	"errors"
	"net"
	"time"
)

const (
	// MaxLineBytes is the maximum length of a line. A message about ten thousand endpoints fits.
	MaxLineBytes = 2 << 20
	// scanBufferBytes is the initial size of a connection's read buffer.
	scanBufferBytes = 4096
	// responseTimeout is how long a node waits for a response before it reconnects.
	responseTimeout = time.Second
)

// errClosed is returned when the peer closes the connection without responding.
var errClosed = errors.New("closed")

func newLineScanner(conn net.Conn) *bufio.Scanner {
	scanner := bufio.NewScanner(conn)
	scanner.Buffer(make([]byte, 0, scanBufferBytes), MaxLineBytes)
	return scanner
}

// readLine decodes the next line into message.
func readLine(scanner *bufio.Scanner, message any) error {
	if !scanner.Scan() {
		if scanner.Err() != nil {
			return scanner.Err()
		}
		return errClosed
	}
	return json.Unmarshal(scanner.Bytes(), message)
}

// readResponse decodes the next line as a response to a report.
func readResponse(scanner *bufio.Scanner) (response Response, err error) {
	err = readLine(scanner, &response)
	response.Size = len(scanner.Bytes())
	return response, err
}

// writeLine encodes message as one line of JSON.
func writeLine(conn net.Conn, message any) error {
	return json.NewEncoder(conn).Encode(message)
}
