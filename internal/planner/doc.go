// Package planner decides which layers, versions, adapters and roles each target of a model holds.
package planner
