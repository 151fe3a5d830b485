// Package resolver chooses the entries that callers are told to use.
package resolver
