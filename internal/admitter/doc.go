// Package admitter decides which requests run now, which wait, and which are refused.
package admitter
