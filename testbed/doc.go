// Package testbed holds the stand-ins that tests and the commands demo and measure
// run against.
package testbed
