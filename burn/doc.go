// Package burn reports how fast each service uses up its error budget.
package burn
