// Package tallier sums counts over all daemons, so that each of them knows what all of them have in progress at the targets.
package tallier
