// Package experimenter simulates load and disruptions on modelled engines, under the product's decisions and simpler policies.
package experimenter
