// Package dispatcher runs a request on a chain of engines and replaces failed attempts, so that the caller receives one uninterrupted answer.
package dispatcher
