// Package placer decides which layers each target of a model holds, one move at a time.
package placer
