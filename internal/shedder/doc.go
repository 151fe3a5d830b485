// Package shedder decides which requests and connections of clients a process gives up when its memory or its descriptors run short.
package shedder
