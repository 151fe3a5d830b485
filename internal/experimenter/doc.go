// Package experimenter plays load and trouble on modelled engines, under the product's decisions and under simpler ones.
package experimenter
