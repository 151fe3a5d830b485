// Package dispatcher runs a request on a chain of engines and replaces failed attempts, so that the caller receives a single answer.
package dispatcher
