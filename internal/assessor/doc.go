// Package assessor tracks the state of each target as this daemon sees it: its layers, its load and whether it is healthy.
package assessor
