// Package fake provides scripted peers of a node for tests and scenarios: a discovery service, servers
// and clients. They speak the published protocols on loopback and report their observations to an
// observer. They send a node nothing that a real peer would not send.
//
// Discovery runs one HTTP server for each node until Close. A Server runs a goroutine for each
// listener and connection until Kill. A Client and the datagram flows run on their caller's
// goroutine until its context ends; when they return, all goroutines that they started have ended.
package fake
