//go:build !race

package experimenter

const raced = false
