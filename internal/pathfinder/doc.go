// Package pathfinder chooses the targets that a request passes through, so that every layer runs exactly once and in order.
package pathfinder
