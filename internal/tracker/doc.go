// Package tracker keeps the view of members and targets that every daemon shares: heartbeats, suspicion, and what the platform's VM list adds.
package tracker
