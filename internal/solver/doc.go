// Package solver computes maximum flows, and with them how many tokens a second chains of engines can carry.
package solver
