package downstream

import (
	"net"

	"coralrelay/internal/lineproto"
	"coralrelay/internal/proxy"
)

// Adopt continues a session that another process has handed over. If it returns false, the sender
// still owns the connections.
func (s *Server) Adopt(state proxy.EstablishedSession, client, upstream net.Conn) bool {
	session := proxy.Inherit(state, lineproto.Codec{}, s.dispatcher, client, upstream)
	session.Metrics = s.Metrics.Class(state.Class)
	if !s.addAdopted(client, session) {
		return false
	}
	if !s.dispatcher.Adopt(session, state.Server) {
		s.removeAdopted(client, session)
		s.wg.Done()
		return false
	}
	go func() {
		defer s.wg.Done()
		session.Run()
		s.removeAdopted(client, session)
		s.signalCapacity()
	}()
	return true
}

// addAdopted registers an adopted session. It returns false if the server is shutting down.
func (s *Server) addAdopted(client net.Conn, session *proxy.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shuttingDown {
		return false
	}
	s.clients[client] = struct{}{}
	s.sessions[session] = true
	s.wg.Add(1)
	return true
}

func (s *Server) removeAdopted(client net.Conn, session *proxy.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.clients, client)
	delete(s.sessions, session)
}
