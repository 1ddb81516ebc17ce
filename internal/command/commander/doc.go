// Package commander implements the command line, one file per command.
package commander
