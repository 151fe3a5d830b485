// Package commander sends fenced orders to targets and records them in the store beforehand.
package commander
