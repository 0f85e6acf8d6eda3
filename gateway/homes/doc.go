// Package homes requests targets from the homes of services, and serves such
// requests of other nodes.
//
// The home of a service is the node that assigns targets to its requests for the
// whole fleet. The homes of all services are distributed among the relays. A home
// only chooses the target: the node that accepted a caller's request sends it
// directly to the target. A home that does not answer therefore costs a short wait,
// and never leaves the outcome of a request unknown.
package homes
