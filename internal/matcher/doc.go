// Package matcher holds a configuration in force: which route a request takes, which service it goes to and whose it is.
package matcher
