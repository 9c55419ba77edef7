package udp

import (
	"context"
	"net"
	"runtime"

	"golang.org/x/net/ipv4"
)

const (
	bareLoopBuffer  = 4 << 20 // bytes per socket
	maxDatagramSize = 65507   // bytes
)

// RunBareLoop reads batches of datagrams from one address and writes them to another until ctx
// ends. It uses one processor. Its cost is the lower bound for a forwarder in Go on these sockets.
func RunBareLoop(ctx context.Context, listen, to string) error {
	runtime.GOMAXPROCS(1)
	in, err := net.ListenPacket("udp", listen)
	if err != nil {
		return err
	}
	out, err := net.Dial("udp", to)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() {
		_ = in.Close()
		_ = out.Close()
	})
	_ = in.(*net.UDPConn).SetReadBuffer(bareLoopBuffer)
	_ = out.(*net.UDPConn).SetWriteBuffer(bareLoopBuffer)
	reader, writer := ipv4.NewPacketConn(in), ipv4.NewPacketConn(out.(*net.UDPConn))
	read, outgoing := make([]ipv4.Message, batchSize), make([]ipv4.Message, batchSize)
	for i := range read {
		read[i].Buffers = [][]byte{make([]byte, maxDatagramSize)}
		outgoing[i].Buffers = make([][]byte, 1)
	}
	for {
		count, err := reader.ReadBatch(read, 0)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		for i := range read[:count] {
			outgoing[i].Buffers[0] = read[i].Buffers[0][:read[i].N]
		}
		writeAll(writer, outgoing[:count])
	}
}

// writeAll writes a batch of datagrams and drops each one whose write fails.
func writeAll(conn *ipv4.PacketConn, messages []ipv4.Message) {
	for len(messages) > 0 {
		count, err := conn.WriteBatch(messages, 0)
		messages = messages[max(count, 0):]
		if err != nil && len(messages) > 0 {
			messages = messages[1:]
		}
	}
}
