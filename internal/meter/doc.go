// Package meter keeps the metrics of one daemon with a bounded number of series and writes them as JSON or text.
package meter
