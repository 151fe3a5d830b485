// Package explainer tells the life of a request, and the cause of its end, from the logs of daemons.
package explainer
