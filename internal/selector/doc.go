// Package selector picks the chain of targets that runs a request.
package selector
