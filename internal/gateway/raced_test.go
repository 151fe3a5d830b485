//go:build race

package gateway

const raced = true
