// Package fleet joins the nodes into one fleet. It maintains the membership by
// gossip and failure detection, assigns homes, and distributes the configuration.
//
// The home of a service, or of a shard of one, is the node that takes the
// service's decisions for the whole fleet; its successors are the nodes that
// take over when it fails.
package fleet
