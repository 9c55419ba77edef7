package agentapi

import (
	"encoding/json"
	"fmt"
	"net"
	"time"
)

// operatorTimeout bounds an operator's call. A replicated log without a leader takes several
// seconds to report that.
const operatorTimeout = 10 * time.Second

// Call sends an operator's request to the agent at addr and decodes the response into the value that
// into points to. It returns a *CallError if the agent rejects the request.
func Call(addr string, request, into any) error {
	conn, err := net.DialTimeout("tcp", addr, responseTimeout)
	if err != nil {
		return fmt.Errorf("fleet agent: %w", err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(operatorTimeout)); err != nil {
		return fmt.Errorf("fleet agent %s: %w", addr, err)
	}
	answer, err := roundTrip(conn, request)
	if err != nil {
		return fmt.Errorf("fleet agent %s: %w", addr, err)
	}
	var callError CallError
	if err := json.Unmarshal(answer, &callError); err == nil && callError.Message != "" {
		return &callError
	}
	if err := json.Unmarshal(answer, into); err != nil {
		return fmt.Errorf("fleet agent %s: %w", addr, err)
	}
	return nil
}

func roundTrip(conn net.Conn, request any) (answer json.RawMessage, err error) {
	if err := writeLine(conn, request); err != nil {
		return nil, err
	}
	err = readLine(newLineScanner(conn), &answer)
	return answer, err
}
