// Package poster carries one-way messages between daemons, each in its own datagram.
package poster
