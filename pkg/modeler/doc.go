// Package modeler models engines that hold ranges of a model's layers, under load and in virtual time, without network.
package modeler
