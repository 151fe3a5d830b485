// Package matcher looks up the route, the service and the workspace of a request in one version of the configuration.
package matcher
