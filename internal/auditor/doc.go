// Package auditor detects store changes that no watch delivered, by the revisions of the daemon's own writes.
package auditor
