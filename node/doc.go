// Package node implements one process of the fleet. It receives requests,
// forwards each to the home of its service, and as the home runs it on a target.
//
// The home of a service is the node that schedules all requests of the service.
// Every node ranks the members of the fleet for each service in the same order;
// the first member in it is the home. The members after it are its successors:
// they take over, in this order, when the home does not answer. The node that
// received the request from the caller is its entry node.
//
// Goroutines: the control goroutine (control.go) owns every Scheduler and all
// other state on which decisions are based. The goroutines of the HTTP servers
// forward the traffic and send typed commands to the control goroutine. They
// read the routes and the members of the fleet, which are immutable values,
// through atomic pointers.
package node
