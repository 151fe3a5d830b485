// Package modeler simulates engines under load that hold ranges of a model's layers, in virtual time and without a network.
package modeler
