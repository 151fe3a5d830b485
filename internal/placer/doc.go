// Package placer decides which layers the targets of a model hold, one move at a time.
package placer
