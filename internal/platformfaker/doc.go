// Package platformfaker fakes the users' platform: an object API with versions and watches, a lagging VM list and
// faults on demand.
package platformfaker
