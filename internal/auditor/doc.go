// Package auditor notices changes of the store that no watch has brought, from the revisions of the daemon's own writes.
package auditor
