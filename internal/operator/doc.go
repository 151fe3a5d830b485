// Package operator serves the API for operators: service documents, targets, members, draining and status.
package operator
