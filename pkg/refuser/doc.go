// Package refuser defines the numbered result codes and the refusals that carry them.
package refuser
