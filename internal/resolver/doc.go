// Package resolver chooses the entries that callers should use.
package resolver
