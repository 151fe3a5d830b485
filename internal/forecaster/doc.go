// Package forecaster decides when a stream is too slow to end before its deadline, or has stalled, and how it is to continue.
package forecaster
