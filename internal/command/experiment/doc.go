// Package experiment groups the commands about experiments on modelled engines.
package experiment
