// Package testbed holds the stand-ins that tests, demo and measure run against.
package testbed
