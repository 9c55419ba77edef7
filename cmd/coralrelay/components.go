package main

// The parts of the node as the attribute "component" of its log lines names them.
const (
	componentNode       = "node"
	componentReload     = "reload"
	componentAgent      = "agentapi"
	componentRoutes     = "routes"
	componentResumption = "resumption"
	componentUDP        = "udp"
)
