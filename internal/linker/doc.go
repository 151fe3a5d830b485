// Package linker carries calls between daemons over yamux streams with protobuf bodies.
package linker
