// Package shedder bounds how many requests an instance takes on by what it is short of.
//
// An instance with more requests than it bears serves all of them late: their callers give up and come again, and the work
// for those who have left is done before that for those who wait. What is over is better turned away before it is
// read: its caller may go to another instance at once.
package shedder
