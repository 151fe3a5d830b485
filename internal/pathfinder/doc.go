// Package pathfinder finds the cheapest path of a request over targets that runs every layer exactly once and in order.
package pathfinder
