// Package fleet lets the nodes act together: membership, homes, and the spread
// of configuration.
package fleet
