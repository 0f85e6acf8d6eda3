// Package retry limits the number of second attempts that a service receives. A
// second attempt is a retry or a hedged request: an attempt that sends a request
// to a further target.
//
// A Budget counts for one node that serves the whole service. A Bound holds for
// a fleet whose nodes may fail, be partitioned or disagree. There, an Issuer on
// each host issues retry tokens: each permits one second attempt. The host sends
// them to the home that grants second attempts, which keeps them in a Bucket.
package retry
