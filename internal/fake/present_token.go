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

// Present shows a token once, as whoever key and group say, and leaves when it has
// seen how the stream begins. It returns the final answer's first word and that of
// the stream; empty where there was none.
func PresentToken(ctx context.Context, f NodePicker, rng *rand.Rand, key, group, class, token string, patience time.Duration) (answer, stream string) {
	_, addr := f.Pick(rng)
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return "", ""
	}
	defer func() { _ = conn.Close() }()
	fmt.Fprintf(conn, "OPEN p%x %s c=%s,d=%d,g=%s,rs=%s\r\n", rng.Uint64(), key, class, patience.Milliseconds(), group, token)
	_ = conn.SetReadDeadline(time.Now().Add(patience + time.Second))
	r := bufio.NewReader(conn)
	line, err := r.ReadString('\n')
	if err != nil {
		return "", ""
	}
	if answer, _, _ = strings.Cut(strings.TrimSpace(line), " "); answer != "UP" {
		return answer, ""
	}
	if line, err = r.ReadString('\n'); err == nil {
		stream, _, _ = strings.Cut(strings.TrimSpace(line), " ")
	}
	return answer, stream
}
