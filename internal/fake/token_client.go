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

// PresentToken presents a token once, as a client of any key and group, and closes the connection
// when it has seen how the stream begins. It returns the first word of the final answer and that of
// the stream; empty where there was none.
func PresentToken(
	ctx context.Context, nodes NodePicker, rng *rand.Rand, key, group, class, token string, timeout time.Duration,
) (answer, stream string) {
	_, addr := nodes.Pick(rng)
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return "", ""
	}
	defer func() { _ = conn.Close() }()
	// A failed write shows as the answer that does not come.
	_, _ = fmt.Fprintf(conn, "OPEN p%x %s c=%s,d=%d,g=%s,rs=%s\r\n",
		rng.Uint64(), key, class, timeout.Milliseconds(), group, token)
	_ = conn.SetReadDeadline(time.Now().Add(timeout + readSlack))
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
