// Package once keeps a request with an idempotency key from running twice.
package once
