package fake

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// PresentToken presents a token once, as a client with the given key and group, and closes the
// connection after the first line of the stream. It returns the first words of the final answer and of
// the stream; a word is empty if there was no such line.
func PresentToken(
	ctx context.Context, nodes NodePicker, rng *rand.Rand, key, group, class, token string, timeout time.Duration,
) (answer, stream string) {
	_, addr := nodes.Pick(rng)
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return "", ""
	}
	defer func() { _ = conn.Close() }()
	// A failed write shows as a missing answer.
	_, _ = fmt.Fprintf(conn, "OPEN p%x %s c=%s,d=%d,g=%s,rs=%s\r\n",
		rng.Uint64(), key, class, timeout.Milliseconds(), group, token)
	_ = conn.SetReadDeadline(time.Now().Add(timeout + lateAnswerWindow))
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	if err != nil {
		return "", ""
	}
	answer, _, _ = strings.Cut(strings.TrimSpace(line), " ")
	if answer != "UP" {
		return answer, ""
	}
	if line, err = reader.ReadString('\n'); err == nil {
		stream, _, _ = strings.Cut(strings.TrimSpace(line), " ")
	}
	return answer, stream
}
