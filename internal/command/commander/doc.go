// Package commander is the command line: one file for each command.
package commander
