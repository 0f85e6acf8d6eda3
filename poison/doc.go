// Package poison detects poison requests: requests that crash each target that
// runs them.
//
// A request is identified by its Fingerprint, so that it is recognised when its
// caller sends it again through another node. If two distinct targets crash while
// they run requests with the same fingerprint, the fingerprint goes into
// quarantine: requests with it are refused for a limited time. A single crash
// does not lead to quarantine. The crashes are not the targets' fault, so the
// targets are absolved: the failures charged to them are dropped.
package poison
