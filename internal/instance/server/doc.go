// Package server is one entry instance at work: it joins the decisions to the
// platform, to its peers, to callers and to operators.
//
// Four loops keep it going. The poll loop reads the domain's rows in one scan,
// renews the lease and looks at the settings' head. The list loop announces the
// instance and reads the platform's list. The beat loop tells the peers what
// changed. The drive loop looks after the owned runners.
//
// Locks are taken in one order: the driver's, then the server's, then the
// fleet's. A part never calls one before it in that order under its own lock.
package server
