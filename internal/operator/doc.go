// Package operator is the API for operators: service documents, targets, members, draining and status.
package operator
