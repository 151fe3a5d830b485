// Package leaser ensures that only one daemon at a time acts on a duty, by leases with fencing numbers in the store.
package leaser
