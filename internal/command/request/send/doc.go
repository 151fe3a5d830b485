// Package send is the command 'request send'.
package send
