package agent

import (
	"bufio"
	"fmt"
	"net"
	"sync"
)

// apiClient is one connection to the agent.
type apiClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

func newAPIClient(c net.Conn) *apiClient { return &apiClient{c, bufio.NewReader(c)} }

func (c *apiClient) request(line string) (string, error) {
	if _, err := fmt.Fprintln(c.conn, line); err != nil {
		return "", err
	}
	return c.reader.ReadString('\n')
}

// pipeListener is a listener without sockets.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (p *pipeListener) dial() net.Conn {
	ours, theirs := net.Pipe()
	p.accepted <- theirs
	return ours
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.accepted:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}
func (p *pipeListener) Close() error   { p.once.Do(func() { close(p.closed) }); return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
