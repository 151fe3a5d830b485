// Package streamer holds the standard streams of a command and what the terminal behind them can do.
package streamer
