package udp

import (
	"context"
	"net"
	"runtime"

	"golang.org/x/net/ipv4"
)

const (
	bareLoopBuffer  = 4 << 20 // bytes, of each socket
	maxDatagramSize = 65507   // bytes
)

// RunBareLoop reads batches from one address and writes them to another: what no forwarder in
// Go on these sockets can go below. It runs until ctx ends and uses one processor.
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
	from, into := ipv4.NewPacketConn(in), ipv4.NewPacketConn(out.(*net.UDPConn))
	read, written := make([]ipv4.Message, batchSize), make([]ipv4.Message, batchSize)
	for i := range read {
		read[i].Buffers = [][]byte{make([]byte, maxDatagramSize)}
		written[i].Buffers = make([][]byte, 1)
	}
	for {
		count, err := from.ReadBatch(read, 0)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		for i := range read[:count] {
			written[i].Buffers[0] = read[i].Buffers[0][:read[i].N]
		}
		writeAll(into, written[:count])
	}
}

// writeAll writes a batch; a datagram that can't be written is dropped.
func writeAll(conn *ipv4.PacketConn, messages []ipv4.Message) {
	for len(messages) > 0 {
		count, err := conn.WriteBatch(messages, 0)
		messages = messages[max(count, 0):]
		if err != nil && len(messages) > 0 {
			messages = messages[1:]
		}
	}
}
