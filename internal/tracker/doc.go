// Package tracker keeps the table of members and targets that all daemons share, from heartbeats, suspicion and the platform's VM list.
package tracker
