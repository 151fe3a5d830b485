// Package verifier decides which parts of an engine's answer may be delivered.
package verifier
