// Package assessor keeps what a daemon believes of each target: what it holds, how full it is and whether it can be trusted.
package assessor
