// Package commander gives fenced orders to targets and records their intent in the store.
package commander
