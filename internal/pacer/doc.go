// Package pacer bounds what the daemons together send to targets that have started or come back, by how these answer.
package pacer
