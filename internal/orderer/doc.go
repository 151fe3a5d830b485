// Package orderer orders the targets of a model to load the layers that package placer assigns to them.
package orderer
