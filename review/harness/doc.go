// Package harness runs gateway nodes as separate processes, beside stand-ins of the
// platform's store and of targets, for the cases of the review.
package harness
