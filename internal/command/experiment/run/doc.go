// Package run is the command experiment run.
package run
