// Package caller is the Go client of rattantray: it resolves entries, sends requests, retries where that is safe and resumes answers that were interrupted.
package caller
