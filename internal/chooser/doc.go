// Package chooser chooses the targets that a generation passes through, by their tracked state and load.
package chooser
