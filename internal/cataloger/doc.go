// Package cataloger defines the immutable values that describe the fleet: data centres, VMs, targets, stages and routes.
package cataloger
