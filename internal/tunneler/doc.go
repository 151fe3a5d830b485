// Package tunneler opens connections to targets, through another daemon where this daemon's own link to a target is lost.
package tunneler
