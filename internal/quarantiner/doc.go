// Package quarantiner decides from crashes of targets which requests must not be sent to targets for a while.
package quarantiner
