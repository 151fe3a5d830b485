// Package streamer provides the standard streams of a command and the capabilities of their terminal.
package streamer
