// Package explainer reconstructs the timeline of a request, and the cause of its end, from the logs of daemons.
package explainer
