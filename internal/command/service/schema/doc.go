// Package schema implements the command 'service schema'.
package schema
