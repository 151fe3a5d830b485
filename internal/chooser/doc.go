// Package chooser decides which targets a generation passes through, by what is believed of them.
package chooser
