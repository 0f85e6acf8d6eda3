// Package homes asks the home of a service for targets, and answers other
// nodes as the home.
//
// Only the choice of a target is the home's: requests go from the node that
// took them straight to the target. A home that does not answer costs a short
// wait and leaves no request in doubt.
package homes
