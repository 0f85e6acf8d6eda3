// Package node is one process of the fleet: it takes requests, finds the home
// of their service, and runs them on targets.
//
// Goroutines: the control goroutine (control.go) owns every Scheduler and all
// else that decides; the goroutines of the HTTP servers carry traffic and talk
// to it by typed commands. Routes and the members of the fleet are immutable
// values that traffic reads through atomic pointers.
package node
