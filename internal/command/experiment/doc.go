// Package experiment groups the commands for experiments on modelled engines.
package experiment
