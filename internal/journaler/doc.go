// Package journaler runs requests that are not idempotent at most once, by recording a claim before dispatch.
package journaler
