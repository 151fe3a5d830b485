// Package orderer has the targets of a model take the layers that a placer decides on.
package orderer
