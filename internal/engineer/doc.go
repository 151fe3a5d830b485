// Package engineer calls model engines.
package engineer
