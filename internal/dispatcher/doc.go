// Package dispatcher runs a request on a chain of engines and replaces attempts that fail, so that the caller sees one answer.
package dispatcher
