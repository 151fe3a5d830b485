// Package solver computes maximum flows, and from them how many tokens a second chains of engines can process.
package solver
