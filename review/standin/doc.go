// Package standin has the stand-ins of the review's cases: discovery, feed servers, clients and the
// platform that starts nodes. They follow the operators' protocol page, and behave like sound parties
// apart from the one disruption that a case asks for. All of their addresses are loopback addresses.
package standin
