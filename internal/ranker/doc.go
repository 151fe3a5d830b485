// Package ranker measures how much of the recent demand for a service goes before a request, by the ranks of the requests.
package ranker
