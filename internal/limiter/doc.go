// Package limiter shares the rate and concurrency limits of workspaces between the entries.
package limiter
