package agent

import (
	"bufio"
	"fmt"
	"net"
	"sync"
)

// apiClient is a client's connection to the agent.
type apiClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

func newAPIClient(c net.Conn) *apiClient { return &apiClient{c, bufio.NewReader(c)} }

// request sends a line and returns the line with which the agent responds.
func (c *apiClient) request(line string) (string, error) {
	if _, err := fmt.Fprintln(c.conn, line); err != nil {
		return "", err
	}
	return c.reader.ReadString('\n')
}

// pipeListener is a net.Listener whose connections are in-memory pipes.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (p *pipeListener) dial() net.Conn {
	clientConn, agentConn := net.Pipe()
	p.accepted <- agentConn
	return clientConn
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
