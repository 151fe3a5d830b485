// Package caller is the Go client of rattantray: it resolves entries, sends requests, retries what is safe and reattaches answers that were cut off.
package caller
