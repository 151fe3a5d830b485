// Package limiter divides the rate and concurrency limits of workspaces among the entries.
package limiter
