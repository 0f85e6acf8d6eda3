// Package poison recognises requests that crash each target that runs them.
package poison
