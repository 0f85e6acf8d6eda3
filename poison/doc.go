// Package poison recognises requests that crash each target that runs them.
//
// A request is known by its Fingerprint, so that it is recognised when its
// caller sends it again through another node. Two distinct targets that crash
// under the same fingerprint put it in quarantine for a bounded time; one
// crash quarantines nobody. The targets are not to blame and are absolved.
package poison
