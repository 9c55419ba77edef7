package fake

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// probeFlowPort is the port that ProbeFlow sends from.
const probeFlowPort = 40000

// spoofedSources is how many source addresses a spoofed flood uses.
const spoofedSources = 1 << 20

// ProbeFlow runs one flow from a source address of its own, so that it can't be confused with another
// flow. It sends datagrams one after another. Once a datagram was answered, the next one is sent after
// the rest of the interval; without an answer, the next one is sent when the interval has passed.
// ProbeFlow returns how many datagrams were answered, and the replies that belong to other flows.
func ProbeFlow(
	ctx context.Context, to, name string, number uint32, datagrams int, interval time.Duration,
) (answered int, unexpected []string) {
	from := sourceAddr(number)
	from.Port = probeFlowPort // fixed, so that a repeated number is the same client again
	conn, err := (&net.Dialer{LocalAddr: from}).DialContext(ctx, "udp", to)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = conn.Close() }()
	buffer := make([]byte, datagramSizeLimit)
	for seq := range datagrams {
		text := fmt.Sprintf("%s %d status ok", name, seq)
		if _, err := conn.Write([]byte(text)); err != nil {
			continue
		}
		_ = conn.SetReadDeadline(time.Now().Add(interval))
		sentAt := time.Now()
		for {
			n, err := conn.Read(buffer)
			if err != nil {
				break
			}
			reply := string(buffer[:n])
			if reply == text {
				answered++
				Sleep(ctx, interval-time.Since(sentAt))
				break
			}
			if !strings.HasPrefix(reply, name+" ") {
				unexpected = append(unexpected, reply)
			}
		}
	}
	return answered, unexpected
}

// RunSteadyFlow runs one flow that sends a datagram in each interval until ctx ends. It counts the
// datagrams that it sent and those that were answered.
func RunSteadyFlow(
	ctx context.Context, to, name string, number uint32, interval time.Duration, sent, answered *atomic.Int64,
) {
	conn, err := (&net.Dialer{LocalAddr: sourceAddr(number)}).DialContext(ctx, "udp", to)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	buffer := make([]byte, 256)
	for seq := 0; ctx.Err() == nil; seq++ {
		sentAt := time.Now()
		text := fmt.Sprintf("%s %d steady", name, seq)
		if _, err := conn.Write([]byte(text)); err != nil {
			continue
		}
		sent.Add(1)
		_ = conn.SetReadDeadline(sentAt.Add(interval))
		for {
			n, err := conn.Read(buffer)
			if err != nil {
				break
			}
			if string(buffer[:n]) == text {
				answered.Add(1)
				break
			}
		}
		Sleep(ctx, interval-time.Since(sentAt))
	}
}

// Flood sends datagrams as fast as it can until ctx ends, each in a new flow: from changing source
// addresses if spoof is true, else from one address. It returns how many datagrams it sent.
func Flood(ctx context.Context, to, name string, number uint32, spoof bool) (sent int) {
	for ; ctx.Err() == nil; sent++ {
		source := number
		if spoof {
			source += uint32(sent) % spoofedSources
		}
		conn, err := (&net.Dialer{LocalAddr: sourceAddr(source)}).DialContext(ctx, "udp", to)
		if err != nil {
			continue
		}
		id := sent
		if !spoof { // identify the flow by its port, which the system may reuse
			id = conn.LocalAddr().(*net.UDPAddr).Port
		}
		_, _ = fmt.Fprintf(conn, "%s%d 0", name, id)
		_ = conn.Close()
	}
	return sent
}

// sourceAddr returns the loopback source address for a flow number.
func sourceAddr(number uint32) *net.UDPAddr {
	return &net.UDPAddr{IP: net.IPv4(127, 1+byte(number>>16)%250, byte(number>>8), byte(number))}
}
