// Package journaler runs requests that are not idempotent at most once, by claims that are recorded before dispatch.
package journaler
