// Package content carries large values and long lists between nodes: encoded as the
// difference from what the receiver has, compressed, and in parts that can be resumed.
package content
