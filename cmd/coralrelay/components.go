package main

// Values of the log attribute "component" for the parts of the node.
const (
	componentNode       = "node"
	componentReload     = "reload"
	componentAgent      = "agentapi"
	componentRoutes     = "routes"
	componentResumption = "resumption"
	componentUDP        = "udp"
)
